//! The lab's command line.

use lab::{
    DemoOptions, Deployment, ExperimentOptions, Policy, run_bench, run_demo, run_experiment,
    run_slopes, wrap_peers,
};
use lexopt::{Arg, Parser, ValueExt};
use std::{error::Error, process::ExitCode};

const HELP: &str = "\
Runs ragwortswitch on stand-ins over loopback.

Usage: lab COMMAND [OPTIONS]

Commands:
  bench              Measure what a hop, a look-up and an upload cost
  demo               Run a deployment with traffic, then show a table
  experiment NAME    Run an experiment and judge it by its bounds; exits with 1
                     where one falls short. NAME is one of steady, surge,
                     slow-targets, uploads, flood, shift, cold-region,
                     link-full, drain, stop-entry, kill-entry, pause-entry,
                     zone-cut, region-cut, platform-down, platform-slow,
                     lost-answers, replace-all, chaos

  slopes             Measure how state, messages, time and memory grow

Options:
  --deployment NAME   vitrine or zadruga (default vitrine)
  --policy NAME       Only runs of this policy: naive or current (default both)
  --report DIR        Write JSON and an SVG plot into DIR
  --seconds N         Time with traffic (default 20, in experiments 15)
  --seed N            Seed of arrivals and service times (default 1)
";

/// What to do.
#[derive(Debug, Default)]
struct Options {
    command: Option<String>,
    deployment: Option<String>,
    name: Option<String>,
    policy: Option<Policy>,
    report: Option<std::path::PathBuf>,
    seconds: Option<u64>,
    seed: Option<u64>,
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().collect();
    // The lab starts entry VMs as processes of its own program.
    if args.get(1).is_some_and(|arg| arg == "entry") {
        return ragwortswitch::run_command(args, wrap_peers);
    }
    match run(Parser::from_iter(args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(parser: Parser) -> Result<bool, Box<dyn Error>> {
    let options = parse(parser)?;
    let runtime = tokio::runtime::Runtime::new()?;
    match options.command.as_deref() {
        Some("bench") => {
            let name = options.deployment.as_deref().unwrap_or("vitrine");
            let deployment =
                Deployment::by_name(name).ok_or_else(|| format!("no deployment {name}"))?;
            runtime.block_on(run_bench(deployment))
        }
        Some("demo") => {
            let mut demo = DemoOptions::default();
            demo.deployment = options.deployment.unwrap_or(demo.deployment);
            demo.seconds = options.seconds.unwrap_or(demo.seconds);
            demo.seed = options.seed.unwrap_or(demo.seed);
            runtime.block_on(run_demo(&demo))?;
            Ok(true)
        }
        Some("experiment") => {
            let name = options.name.ok_or("an experiment's name is missing; see --help")?;
            let mut experiment = ExperimentOptions::default();
            experiment.deployment = options.deployment.unwrap_or(experiment.deployment);
            experiment.policy = options.policy;
            experiment.report = options.report;
            experiment.seconds = options.seconds.unwrap_or(experiment.seconds);
            experiment.seed = options.seed.unwrap_or(experiment.seed);
            runtime.block_on(run_experiment(&name, &experiment))
        }
        Some("slopes") => {
            runtime.block_on(run_slopes(options.report.as_deref()))?;
            Ok(true)
        }
        Some("help") => {
            print!("{HELP}");
            Ok(true)
        }
        Some(other) => Err(format!("no command {other}; see --help").into()),
        None => Err("a command is missing; see --help".into()),
    }
}

fn parse(mut parser: Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("deployment") => options.deployment = Some(parser.value()?.string()?),
            Arg::Long("help") | Arg::Short('h') => options.command = Some("help".into()),
            Arg::Long("policy") => options.policy = Some(parser.value()?.parse_with(to_policy)?),
            Arg::Long("report") => options.report = Some(parser.value()?.into()),
            Arg::Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
            Arg::Long("seed") => options.seed = Some(parser.value()?.parse()?),
            Arg::Value(value) if options.command.is_none() => {
                options.command = Some(value.string()?);
            }
            Arg::Value(value) if options.name.is_none() => options.name = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn to_policy(text: &str) -> Result<Policy, String> {
    match text {
        "current" => Ok(Policy::Current),
        "naive" => Ok(Policy::Naive),
        other => Err(format!("no policy {other}")),
    }
}
