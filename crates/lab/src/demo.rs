//! Demo: runs a deployment under load and prints a summary.

use crate::{Deployment, Scenario, run_scenario};
use std::{error::Error, time::Duration};
use tokio::signal::ctrl_c;

/// Fraction of all slots that the arrivals keep busy on average.
const LOAD: f64 = 0.5;

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Name of the deployment.
    pub deployment: String,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self { deployment: "vitrine".into(), seconds: 20, seed: 1 }
    }
}

/// Runs a deployment under load, then prints a summary table; Ctrl-C aborts the run.
///
/// # Errors
///
/// If the deployment is unknown or can't be started.
pub async fn run_demo(options: &DemoOptions) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::by_name(&options.deployment)
        .ok_or_else(|| format!("unknown deployment {}", options.deployment))?;
    let scenario = Scenario::new(LOAD, Duration::from_secs(options.seconds), options.seed);
    println!(
        "{}: {} entry VM processes, load for half of all slots",
        deployment.name(),
        deployment.entry_vms().len()
    );
    let run = tokio::select! {
        run = run_scenario(deployment, &scenario, "demo") => run?,
        _ = ctrl_c() => {
            println!("\nstopped");
            return Ok(());
        }
    };
    println!("{}", run.report.to_table(&run.regions));
    println!("checks: {}", run.checks.to_json());
    println!("platform calls: {:?}", run.platform_calls);
    println!("logs and traces: {}", run.directory.display());
    Ok(())
}
