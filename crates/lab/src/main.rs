//! The lab's command line.

use lab::{DemoOptions, run_demo, wrap_peers};
use lexopt::{Arg, Parser, ValueExt};
use std::process::ExitCode;

const HELP: &str = "\
Runs ragwortswitch on stand-ins over loopback.

Usage: lab COMMAND [OPTIONS]

Commands:
  demo     Run a deployment of the examples with traffic, then show a table

Options:
  --deployment NAME   vitrine or zadruga (default vitrine)
  --seconds N         Time with traffic (default 20)
  --seed N            Seed of arrivals and service times (default 1)
";

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().collect();
    // The lab starts entry VMs as processes of its own program.
    if args.get(1).is_some_and(|arg| arg == "entry") {
        return ragwortswitch::run_command(args, wrap_peers);
    }
    match run(Parser::from_iter(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut parser: Parser) -> Result<(), Box<dyn std::error::Error>> {
    let mut command = None;
    let mut options = DemoOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("deployment") => options.deployment = parser.value()?.string()?,
            Arg::Long("help") | Arg::Short('h') => {
                print!("{HELP}");
                return Ok(());
            }
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Value(name) if command.is_none() => command = Some(name.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let runtime = tokio::runtime::Runtime::new()?;
    match command.as_deref() {
        Some("demo") => runtime.block_on(run_demo(&options)),
        Some(other) => Err(format!("no command {other}; see --help").into()),
        None => Err("a command is missing; see --help".into()),
    }
}
