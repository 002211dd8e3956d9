//! The `ragwortswitch` binary as a library, so that the lab can run the same code.
//!
//! `ragwortswitch entry` runs an entry VM, and `ragwortswitch router` runs one on the users'
//! platform. The other commands check files or send requests to an entry VM or to the platform.

mod arguments;
mod command_line;
mod command_output;
mod commands;
mod process_settings;
mod router_settings;
mod text_diff;
mod text_table;

pub use commands::WrapPeers;

use arguments::EarlyExit;
use command_line::Command;
use std::{
    ffi::OsString,
    io::{self, Write},
    process::ExitCode,
};

/// Exit code of a valid command that failed.
const FAILED: u8 = 1;
/// Exit code for an invalid command line.
const USAGE_ERROR: u8 = 2;

/// Parses and runs a command; the first argument is the program name.
pub fn run_command(args: impl IntoIterator<Item = OsString>, wrap: WrapPeers) -> ExitCode {
    let command = match Command::parse(args) {
        Ok(command) => command,
        Err(EarlyExit::Help(text)) => return print(text),
        Err(EarlyExit::Invalid(error)) => {
            print_error(&format!("{error}; see 'ragwortswitch --help'"));
            return ExitCode::from(USAGE_ERROR);
        }
        Err(EarlyExit::Version) => {
            return print(concat!("ragwortswitch ", env!("CARGO_PKG_VERSION"), "\n"));
        }
    };
    match run(&command, wrap) {
        Ok(code) => code,
        Err(error) => {
            print_error(&error.to_string());
            ExitCode::from(FAILED)
        }
    }
}

fn run(command: &Command, wrap: WrapPeers) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut builder = match command.threads() {
        Some(threads) => {
            let mut builder = tokio::runtime::Builder::new_multi_thread();
            builder.worker_threads(threads);
            builder
        }
        None => tokio::runtime::Builder::new_current_thread(),
    };
    let runtime = builder.enable_all().build()?;
    let output = runtime.block_on(command.run(wrap))?;
    let json = command.common().is_some_and(|common| common.json);
    let code = print(&output.to_text(json && !output.json.is_null()));
    Ok(if output.failed { ExitCode::from(FAILED) } else { code })
}

/// Prints an error to standard error, wrapped at 80 columns.
fn print_error(error: &str) {
    for line in format!("ragwortswitch: {error}").lines() {
        eprint!("{}", text_table::wrap_text(line, ""));
    }
}

/// Prints to standard output. A broken pipe, as left by `head`, does not count as a failure.
fn print(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => ExitCode::from(FAILED),
        _ => ExitCode::SUCCESS,
    }
}
