//! The one binary as a library, so that the lab runs the same program.
//!
//! `ragwortswitch entry` runs an entry VM, the other commands talk to one or to the platform.

mod arguments;
mod command_line;
mod commands;
mod process_settings;
mod report;
mod router_settings;
mod text_diff;
mod text_table;

pub use commands::WrapPeers;

use arguments::Usage;
use command_line::Command;
use std::{
    ffi::OsString,
    io::{self, Write},
    process::ExitCode,
};

/// Exit code of a command that was understood and failed.
const FAILED: u8 = 1;
/// Exit code of a command line that was not understood.
const MISUSED: u8 = 2;

/// Runs a command from its arguments, the program's name first.
pub fn run_command(args: impl IntoIterator<Item = OsString>, wrap: WrapPeers) -> ExitCode {
    let command = match Command::parse(args) {
        Ok(command) => command,
        Err(Usage::Help(text)) => return print(text),
        Err(Usage::Misused(error)) => {
            complain(&format!("{error}; see 'ragwortswitch --help'"));
            return ExitCode::from(MISUSED);
        }
        Err(Usage::Version) => {
            return print(concat!("ragwortswitch ", env!("CARGO_PKG_VERSION"), "\n"));
        }
    };
    match run(&command, wrap) {
        Ok(code) => code,
        Err(error) => {
            complain(&error.to_string());
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
    let report = runtime.block_on(command.run(wrap))?;
    let json = command.common().is_some_and(|common| common.json);
    let code = print(&report.to_output(json && !report.json.is_null()));
    Ok(if report.failed { ExitCode::from(FAILED) } else { code })
}

/// Writes an error to standard error, each of its lines in 80 columns.
fn complain(error: &str) {
    for line in format!("ragwortswitch: {error}").lines() {
        eprint!("{}", text_table::wrap_text(line, ""));
    }
}

/// Writes to standard output; a reader that went away, such as `head`, is no failure.
fn print(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => ExitCode::from(FAILED),
        _ => ExitCode::SUCCESS,
    }
}
