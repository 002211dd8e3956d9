//! The one binary as a library, so that the lab runs the same program.
//!
//! `ragwortswitch entry` runs an entry VM, the other commands talk to one or to the platform.

mod command_line;
mod commands;
mod process_settings;

pub use commands::WrapPeers;

use command_line::{Command, CommandLine};
use std::{ffi::OsString, process::ExitCode};

/// Exit code of a command that was understood and failed.
const FAILED: u8 = 1;
/// Exit code of a command line that was not understood.
const MISUSED: u8 = 2;

/// Runs a command from its arguments, the program's name first.
pub fn run_command(args: impl IntoIterator<Item = OsString>, wrap: WrapPeers) -> ExitCode {
    let line = match CommandLine::parse(args) {
        Ok(line) => line,
        Err(error) => {
            eprintln!("ragwortswitch: {error}; see 'ragwortswitch --help'");
            return ExitCode::from(MISUSED);
        }
    };
    match run(line, wrap) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ragwortswitch: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn run(line: CommandLine, wrap: WrapPeers) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(line.threads)
        .enable_all()
        .build()?;
    match line.command {
        Command::Entry { settings } => runtime.block_on(commands::run_entry_vm(&settings, wrap)),
        Command::Help => {
            print!("{}", command_line::HELP);
            Ok(())
        }
        Command::Version => {
            println!("ragwortswitch {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
