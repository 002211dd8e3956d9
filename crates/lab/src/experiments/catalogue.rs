//! The experiments by name.

use super::{
    ExperimentResult, fault_experiments as faults, load_experiments as load,
    shift_experiments as shifts,
};
use crate::{Deployment, Policy, RunResult, Scenario, ideal_report, run_scenario, workloads};
use std::{error::Error, path::PathBuf, time::Duration};

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Name of the deployment.
    pub deployment: String,
    /// Leaves out the runs of the other policy.
    pub policy: Option<Policy>,
    /// Directory for JSON and SVG.
    pub report: Option<PathBuf>,
    /// Time with arrivals of each run.
    pub seconds: u64,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

impl Default for ExperimentOptions {
    fn default() -> Self {
        Self { deployment: "vitrine".into(), policy: None, report: None, seconds: 15, seed: 1 }
    }
}

/// Names of all experiments.
pub const NAMES: [&str; 19] = [
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

/// Runs an experiment, prints its tables, and tells whether every bound holds.
///
/// # Errors
///
/// Where the experiment isn't known or a run can't be started.
pub async fn run_experiment(
    name: &str,
    options: &ExperimentOptions,
) -> Result<bool, Box<dyn Error>> {
    let deployment = Deployment::by_name(&options.deployment)
        .ok_or_else(|| format!("no deployment {}", options.deployment))?;
    let bench = Bench { deployment, name, options };
    let result = match name {
        "chaos" => faults::chaos(&bench).await,
        "cold-region" => shifts::cold_region(&bench).await,
        "drain" => shifts::drain(&bench).await,
        "flood" => load::flood(&bench).await,
        "kill-entry" => faults::kill_entry(&bench).await,
        "link-full" => shifts::link_full(&bench).await,
        "lost-answers" => faults::lost_answers(&bench).await,
        "pause-entry" => faults::pause_entry(&bench).await,
        "platform-down" => faults::platform_down(&bench).await,
        "platform-slow" => faults::platform_slow(&bench).await,
        "region-cut" => faults::region_cut(&bench).await,
        "replace-all" => faults::replace_all(&bench).await,
        "shift" => shifts::shift(&bench).await,
        "slow-targets" => load::slow_targets(&bench).await,
        "steady" => load::steady(&bench).await,
        "stop-entry" => faults::stop_entry(&bench).await,
        "surge" => load::surge(&bench).await,
        "uploads" => load::uploads(&bench).await,
        "zone-cut" => faults::zone_cut(&bench).await,
        _ => Err(format!("no experiment {name}; there are {}", NAMES.join(", ")).into()),
    }?;
    print!("{}", result.to_table());
    if let Some(directory) = &options.report {
        result.save(directory)?;
        println!("report in {}", directory.display());
    }
    Ok(result.holds())
}

/// What each experiment works with.
#[derive(Debug)]
pub(super) struct Bench<'a> {
    pub(super) deployment: Deployment,
    pub(super) name: &'a str,
    pub(super) options: &'a ExperimentOptions,
}

impl Bench<'_> {
    /// A scenario of the stated length and seed.
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

    /// Runs a scenario under the naive policy, unless only the current one is asked for.
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

    /// Name of the service with the most traffic, and of its short class.
    pub(super) fn main_class(&self) -> (&'static str, &'static str) {
        match self.deployment.name() {
            "zadruga" => ("calendar", "calendar/read"),
            _ => ("briefs", "briefs/read"),
        }
    }

    /// Name of the service with uploads, and of its short class.
    pub(super) fn upload_class(&self) -> (&'static str, &'static str) {
        match self.deployment.name() {
            "zadruga" => ("archive", "archive/read"),
            _ => ("media", "media/preview"),
        }
    }

    /// Text of a settings document of the deployment.
    pub(super) fn document(&self, path: &str) -> Result<String, Box<dyn Error>> {
        let documents = self.deployment.raw_documents();
        let found = documents.iter().find(|(p, _)| *p == path);
        found.map(|(_, text)| (*text).to_owned()).ok_or_else(|| format!("no {path}").into())
    }

    /// Puts runs, ideal and bounds together; the ideal is that of the first run.
    pub(super) fn finish(
        &self,
        runs: Vec<RunResult>,
        bounds: Vec<super::Bound>,
    ) -> Result<ExperimentResult, Box<dyn Error>> {
        let snapshot = self.deployment.snapshot(crate::Network::new(1))?;
        let workloads = workloads(self.deployment.name());
        let ideal = runs
            .first()
            .map(|run| ideal_report(self.deployment, workloads, &snapshot, &run.arrivals));
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
