//! Parsing and dispatch of commands.

use crate::{
    arguments::{CommonOptions, EarlyExit},
    command_output::CommandOutput,
    commands::{
        CheckOptions, EntryOptions, ExplainOptions, LookupOptions, RouterOptions, SettingsOptions,
        StatusOptions,
    },
};
use lexopt::{Arg, Parser, ValueExt};
use std::{error::Error, ffi::OsString};

/// Text of `ragwortswitch --help`.
const HELP: &str = "\
Steers requests to the regions, availability zones and targets that have room.

Usage: ragwortswitch COMMAND [OPTIONS]

Commands:
  check      Check settings files, or write their JSON Schema
  entry      Run an entry VM
  explain    Explain where a request would go, and why
  lookup     Show which entry VMs a block of clients uses
  router     Run an entry VM on the users' platform
  settings   Read and write steering settings
  status     Show what an entry VM knows

Options:
  --help     Show this text; after a command, its own
  --version  Show the version

Exit codes: 0 done, 1 failed, 2 misused.
";

/// A parsed command with its options.
#[derive(Debug)]
pub(crate) enum Command {
    /// Checks files.
    Check(CheckOptions),
    /// Runs an entry VM.
    Entry(EntryOptions),
    /// Explains the route of a request.
    Explain(ExplainOptions),
    /// Shows a look-up.
    Lookup(LookupOptions),
    /// Runs an entry VM on the users' platform.
    Router(RouterOptions),
    /// Reads and writes settings.
    Settings(SettingsOptions),
    /// Shows the status.
    Status(StatusOptions),
}

impl Command {
    /// Parses the arguments, of which the first is the program name.
    pub(crate) fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Self, EarlyExit> {
        let mut parser = Parser::from_iter(args);
        let name = match parser.next()? {
            None => return Err("a command is missing".into()),
            Some(Arg::Long("help") | Arg::Short('h')) => return Err(EarlyExit::Help(HELP)),
            Some(Arg::Long("version")) => return Err(EarlyExit::Version),
            Some(Arg::Value(name)) => name.string()?,
            Some(other) => return Err(other.unexpected().into()),
        };
        let parser = &mut parser;
        match name.as_str() {
            "check" => CheckOptions::parse(parser).map(Self::Check),
            "entry" => EntryOptions::parse(parser).map(Self::Entry),
            "explain" => ExplainOptions::parse(parser).map(Self::Explain),
            "lookup" => LookupOptions::parse(parser).map(Self::Lookup),
            "router" => RouterOptions::parse(parser).map(Self::Router),
            "settings" => SettingsOptions::parse(parser).map(Self::Settings),
            "status" => StatusOptions::parse(parser).map(Self::Status),
            _ => {
                let known = ["check", "entry", "explain", "lookup", "router", "settings", "status"];
                let near = steer::suggest_name(&name, known);
                Err(EarlyExit::Invalid(format!("no command `{name}`; {near}").into()))
            }
        }
    }

    /// Common options of a command that prints output; `None` for those that run a VM.
    pub(crate) fn common(&self) -> Option<&CommonOptions> {
        match self {
            Self::Check(options) => Some(&options.common),
            Self::Entry(_) | Self::Router(_) => None,
            Self::Explain(options) => Some(&options.common),
            Self::Lookup(options) => Some(&options.common),
            Self::Settings(options) => Some(&options.common),
            Self::Status(options) => Some(&options.common),
        }
    }

    /// Runs the command until it ends. Commands that run a VM return empty output.
    pub(crate) async fn run(
        &self,
        wrap: crate::WrapPeers,
    ) -> Result<CommandOutput, Box<dyn Error>> {
        match self {
            Self::Check(options) => options.run(),
            Self::Entry(options) => {
                crate::commands::run_entry_vm(&options.settings, wrap).await?;
                Ok(CommandOutput::default())
            }
            Self::Explain(options) => options.run().await,
            Self::Lookup(options) => options.run().await,
            Self::Router(options) => {
                crate::commands::run_router(&options.settings).await?;
                Ok(CommandOutput::default())
            }
            Self::Settings(options) => options.run().await,
            Self::Status(options) => options.run().await,
        }
    }

    /// Number of worker threads; `None` selects the single-threaded runtime.
    pub(crate) fn threads(&self) -> Option<usize> {
        match self {
            Self::Entry(options) => Some(options.threads),
            _ => None,
        }
    }
}
