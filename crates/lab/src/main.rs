//! Command line of the lab.

use lab::{
    DemoOptions, Deployment, ExperimentOptions, Policy, run_bench, run_demo, run_experiment,
    run_slopes, wrap_peers,
};
use lexopt::{Arg, Parser, ValueExt};
use std::{error::Error, process::ExitCode};

const HELP: &str = "\
Runs ragwortswitch with stand-ins for outside systems on loopback.

Usage: lab COMMAND [OPTIONS]

Commands:
  bench              Measure proxy latency, lookup throughput and upload memory
  demo               Run a deployment under load and print a summary
  experiment NAME    Run an experiment and check its bounds; exits with 1 if
                     a bound is not met. NAME is one of steady, surge,
                     slow-targets, uploads, flood, shift, cold-region,
                     link-full, drain, stop-entry, kill-entry, pause-entry,
                     zone-cut, region-cut, platform-down, platform-slow,
                     lost-answers, replace-all, chaos

  slopes             Measure how state, messages, time and memory scale

Options:
  --deployment NAME   vitrine or zadruga (default vitrine)
  --policy NAME       Run only this policy: naive or current (default both)
  --report DIR        Write JSON and an SVG plot into DIR
  --seconds N         Duration of the load (default 20, in experiments 15)
  --seed N            Seed of arrivals and service times (default 1)
";

/// Parsed command-line arguments.
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
    // The lab starts each entry VM as a child process of the same executable.
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
                Deployment::by_name(name).ok_or_else(|| format!("unknown deployment {name}"))?;
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
            let name = options.name.ok_or("missing experiment name; see --help")?;
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
        Some(other) => Err(format!("unknown command {other}; see --help").into()),
        None => Err("missing command; see --help".into()),
    }
}

fn parse(mut parser: Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("deployment") => options.deployment = Some(parser.value()?.string()?),
            Arg::Long("help") | Arg::Short('h') => options.command = Some("help".into()),
            Arg::Long("policy") => options.policy = Some(parser.value()?.parse_with(parse_policy)?),
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

fn parse_policy(text: &str) -> Result<Policy, String> {
    match text {
        "current" => Ok(Policy::Current),
        "naive" => Ok(Policy::Naive),
        other => Err(format!("unknown policy {other}")),
    }
}
