//! Command line of the soak test.

use lexopt::{Arg, Parser, ValueExt};
use soak::{FleetSize, SoakOptions, SoakReport, run_soak};
use std::{env, error::Error, process::ExitCode, time::Duration};

const HELP: &str = "\
Runs entry VMs as processes, injects faults, and checks what callers see.

Usage: soak [OPTIONS]

Options:
  --program P   Executable of the entry VMs (default: this one)
  --seconds N   Time with calls (default 30)
  --seed N      First seed (default 1)
  --seeds N     Number of seeds, one after the other (default 1)
  --size N      Size of the fleet as a multiple of 8 VMs and 12 targets (default 1)
";
/// Maximum number of violations printed for each promise.
const MAX_VIOLATIONS: usize = 5;

fn main() -> ExitCode {
    let args: Vec<_> = env::args_os().collect();
    // The soak starts this executable again with `router` as its argument for each entry VM.
    if args.get(1).is_some_and(|arg| arg == "router") {
        return ragwortswitch::run_command(args, |peers| peers);
    }
    match run(Parser::from_iter(args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(mut parser: Parser) -> Result<bool, Box<dyn Error>> {
    let (mut program, mut seconds, mut first, mut count) = (env::current_exe()?, 30, 1, 1);
    let mut size = FleetSize::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(true);
            }
            Arg::Long("program") => program = parser.value()?.into(),
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("seed") => first = parser.value()?.parse()?,
            Arg::Long("seeds") => count = parser.value()?.parse()?,
            Arg::Long("size") => size = FleetSize::new(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let mut passed = true;
    for seed in first..first + count {
        let options = SoakOptions::new(program.clone(), seed);
        let options = options.length(Duration::from_secs(seconds)).size(size);
        let report = runtime.block_on(run_soak(&options))?;
        passed &= print(seed, &report);
    }
    Ok(passed)
}

/// Prints a report, and returns whether all promises held.
fn print(seed: u64, report: &SoakReport) -> bool {
    let SoakReport { folder, served, steps, total, violations } = report;
    println!("seed {seed}: {served} of {total} served, {} faults", steps.len());
    if violations.is_empty() {
        // Logs are needed only after a failure; a folder that can't be removed does no harm.
        let _ = std::fs::remove_dir_all(folder);
        return true;
    }
    for (promise, all) in violations {
        println!("  {promise}: {} times", all.len());
        for violation in all.iter().take(MAX_VIOLATIONS) {
            println!("    {}", violation.detail);
        }
    }
    for step in steps {
        println!("  {:6.2} s {:?}", step.at.as_secs_f64(), step.fault);
    }
    println!("  logs in {}", folder.display());
    false
}
