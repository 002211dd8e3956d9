//! The command line.

use lexopt::{Arg, Error, Parser, ValueExt};
use std::{ffi::OsString, path::PathBuf};

/// Text of `ragwortswitch --help`.
pub(crate) const HELP: &str = "\
Steers requests to the regions, availability zones and targets that have room.

Usage: ragwortswitch COMMAND

Commands:
  entry FILE    Run an entry VM from the process settings in FILE

Options:
  --help        Show this text
  --threads N   Worker threads (default 2)
  --version     Show the version
";

/// Worker threads where the command line names none.
const DEFAULT_THREADS: usize = 2;

/// A command with its arguments.
#[derive(Debug, PartialEq)]
pub(crate) enum Command {
    Entry { settings: PathBuf },
    Help,
    Version,
}

/// The parsed command line.
#[derive(Debug, PartialEq)]
pub(crate) struct CommandLine {
    pub(crate) command: Command,
    pub(crate) threads: usize,
}

impl CommandLine {
    /// Reads arguments, the program's name first.
    pub(crate) fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Self, Error> {
        let mut parser = Parser::from_iter(args);
        let mut command = None;
        let mut threads = DEFAULT_THREADS;
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("help") | Arg::Short('h') => command = Some(Command::Help),
                Arg::Long("threads") => threads = parser.value()?.parse()?,
                Arg::Long("version") => command = Some(Command::Version),
                Arg::Value(name) if name == "entry" => {
                    command = Some(Command::Entry { settings: parser.value()?.into() });
                }
                other => return Err(other.unexpected()),
            }
        }
        let command = command.ok_or("a command is missing")?;
        Ok(Self { command, threads })
    }
}
