//! Looks up and runs experiments by name.

use super::{
    ExperimentResult, fault_experiments as faults, load_experiments as load,
    shift_experiments as shifts,
};
use crate::{
    Deployment, Policy, RunResult, Scenario, run_scenario, simulate_central_queue, workloads,
};
use std::{error::Error, path::PathBuf, time::Duration};

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Name of the deployment.
    pub deployment: String,
    /// Restricts the runs to one policy; `None` runs both.
    pub policy: Option<Policy>,
    /// Directory for the JSON and SVG reports.
    pub report: Option<PathBuf>,
    /// Duration of the arrivals of each run in seconds.
    pub seconds: u64,
    /// Seed of the arrivals and service times.
    pub seed: u64,
}

impl Default for ExperimentOptions {
    fn default() -> Self {
        Self { deployment: "vitrine".into(), policy: None, report: None, seconds: 15, seed: 1 }
    }
}

/// Names of all experiments.
pub const EXPERIMENT_NAMES: [&str; 19] = [
    "steady",
    "surge",
    "slow-targets",
    "uploads",
    "flood",
    "shift",
    "cold-region",
    "link-full",
    "drain",
    "stop-entry",
    "kill-entry",
    "pause-entry",
    "zone-cut",
    "region-cut",
    "platform-down",
    "platform-slow",
    "lost-answers",
    "replace-all",
    "chaos",
];

/// Runs an experiment, prints its tables, and returns whether every bound holds.
///
/// # Errors
///
/// Returns an error if the experiment is unknown or a run can't be started.
pub async fn run_experiment(
    name: &str,
    options: &ExperimentOptions,
) -> Result<bool, Box<dyn Error>> {
    let deployment = Deployment::by_name(&options.deployment)
        .ok_or_else(|| format!("unknown deployment {}", options.deployment))?;
    let context = ExperimentContext { deployment, name, options };
    let result = match name {
        "chaos" => faults::chaos(&context).await,
        "cold-region" => shifts::cold_region(&context).await,
        "drain" => shifts::drain(&context).await,
        "flood" => load::flood(&context).await,
        "kill-entry" => faults::kill_entry(&context).await,
        "link-full" => shifts::link_full(&context).await,
        "lost-answers" => faults::lost_answers(&context).await,
        "pause-entry" => faults::pause_entry(&context).await,
        "platform-down" => faults::platform_down(&context).await,
        "platform-slow" => faults::platform_slow(&context).await,
        "region-cut" => faults::region_cut(&context).await,
        "replace-all" => faults::replace_all(&context).await,
        "shift" => shifts::shift(&context).await,
        "slow-targets" => load::slow_targets(&context).await,
        "steady" => load::steady(&context).await,
        "stop-entry" => faults::stop_entry(&context).await,
        "surge" => load::surge(&context).await,
        "uploads" => load::uploads(&context).await,
        "zone-cut" => faults::zone_cut(&context).await,
        _ => Err(format!(
            "unknown experiment {name}; the experiments are {}",
            EXPERIMENT_NAMES.join(", ")
        )
        .into()),
    }?;
    print!("{}", result.to_table());
    if let Some(directory) = &options.report {
        result.save(directory)?;
        println!("report written to {}", directory.display());
    }
    Ok(result.holds())
}

/// Inputs shared by all experiments.
#[derive(Debug)]
pub(super) struct ExperimentContext<'a> {
    pub(super) deployment: Deployment,
    pub(super) name: &'a str,
    pub(super) options: &'a ExperimentOptions,
}

impl ExperimentContext<'_> {
    /// Creates a scenario with the length and seed of the options.
    pub(super) fn scenario(&self, load: f64) -> Scenario {
        Scenario::new(load, Duration::from_secs(self.options.seconds), self.options.seed)
    }

    /// Runs a scenario.
    pub(super) async fn run(
        &self,
        label: &str,
        scenario: &Scenario,
    ) -> Result<RunResult, Box<dyn Error>> {
        run_scenario(self.deployment, scenario, label).await
    }

    /// Runs a scenario with the naive policy, unless the options select only the current policy.
    pub(super) async fn run_naive(
        &self,
        scenario: &Scenario,
    ) -> Result<Option<RunResult>, Box<dyn Error>> {
        if self.options.policy == Some(Policy::Current) {
            return Ok(None);
        }
        let scenario = scenario.clone().policy(Policy::Naive);
        self.run("naive", &scenario).await.map(Some)
    }

    /// Returns the service with the most traffic, and its class of short requests.
    pub(super) fn main_class(&self) -> (&'static str, &'static str) {
        match self.deployment.name() {
            "zadruga" => ("calendar", "calendar/read"),
            _ => ("briefs", "briefs/read"),
        }
    }

    /// Returns the service with uploads and its class of short requests.
    pub(super) fn upload_class(&self) -> (&'static str, &'static str) {
        match self.deployment.name() {
            "zadruga" => ("archive", "archive/read"),
            _ => ("media", "media/preview"),
        }
    }

    /// Returns the text of a settings document of the deployment.
    pub(super) fn document(&self, path: &str) -> Result<String, Box<dyn Error>> {
        let documents = self.deployment.raw_documents();
        let found = documents.iter().find(|(p, _)| *p == path);
        found
            .map(|(_, text)| (*text).to_owned())
            .ok_or_else(|| format!("no settings document {path}").into())
    }

    /// Combines runs and bounds into a result, with the latencies of the ideal load balancer for
    /// the arrivals of the first run.
    pub(super) fn finish(
        &self,
        runs: Vec<RunResult>,
        bounds: Vec<super::Bound>,
    ) -> Result<ExperimentResult, Box<dyn Error>> {
        let snapshot = self.deployment.snapshot(crate::Network::new(1))?;
        let workloads = workloads(self.deployment.name());
        let ideal = runs.first().map(|run| {
            simulate_central_queue(self.deployment, workloads, &snapshot, &run.arrivals)
        });
        Ok(ExperimentResult {
            bounds,
            deployment: self.deployment.name(),
            ideal,
            name: self.name.to_owned(),
            runs,
            seed: self.options.seed,
        })
    }
}
