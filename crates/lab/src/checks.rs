//! Counts invariant violations in the records of targets and callers.

use crate::{Arrival, Fleet, RequestOutcome, RequestResult, RunRecord, Workload};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};
use steer::{RepeatRule, TargetName};
use tokio::time::Instant;

/// Counts of invariant violations, with the details needed to analyse them.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    /// Responses that belong to a different request.
    pub crossed: u64,
    /// Requests that may run at most once but ran more often; runs are matched by idempotency key.
    pub double_runs: u64,
    /// Requests that ended with neither a response nor a refusal.
    pub failed: u64,
    /// Requests that were refused as not run although they ran.
    pub false_refusals: u64,
    /// Requests that had not ended when the run finished.
    pub missing: u64,
    /// Largest number of concurrent requests at a target in excess of its slots.
    pub over_slots: u32,
    /// Requests without a response, by workload and reason.
    pub reasons: BTreeMap<String, u64>,
    /// Average number of runs of the requests that ran; 1.0 if no request ran twice.
    pub run_ratio: f64,
    /// Requests that each target ran.
    pub runs: BTreeMap<TargetName, Vec<RunRecord>>,
    /// Requested stops that timed out or ended with an exit code other than 0.
    pub unclean_stops: u64,
}

impl Checks {
    /// Evaluates the records of a run.
    pub fn new(
        fleet: &Fleet,
        arrivals: &[Arrival],
        results: &[Option<RequestResult>],
        workloads: &[Workload],
    ) -> Self {
        let runs: BTreeMap<TargetName, Vec<RunRecord>> =
            fleet.targets.iter().map(|(name, target)| (name.clone(), target.runs())).collect();
        let mut by_key: BTreeMap<&str, u64> = BTreeMap::new();
        for key in runs.values().flatten().filter_map(|run| run.key.as_deref()) {
            *by_key.entry(key).or_default() += 1;
        }
        let mut checks = Self {
            missing: results.iter().filter(|r| r.is_none()).count() as u64,
            ..Self::default()
        };
        for (arrival, result) in arrivals.iter().zip(results) {
            let Some(result) = result else { continue };
            let ran = by_key.get(result.key.as_str()).copied().unwrap_or_default();
            let workload = &workloads[arrival.workload];
            if let Some(reason) = &result.reason {
                let reason = format!("{} {reason}", workload.label());
                *checks.reasons.entry(reason).or_default() += 1;
            }
            checks.crossed += u64::from(result.crossed);
            checks.failed += u64::from(result.outcome == RequestOutcome::Failed);
            checks.false_refusals +=
                u64::from(result.outcome == RequestOutcome::Refused && ran > 0);
            checks.double_runs += u64::from(runs_at_most_once(fleet, workload) && ran > 1);
        }
        checks.over_slots = max_over_slots(fleet);
        let total: u64 = by_key.values().sum();
        checks.run_ratio = total as f64 / by_key.len().max(1) as f64;
        checks.runs = runs;
        checks.unclean_stops = fleet.unclean_stops;
        checks
    }

    /// Start times of the runs that match a filter, in ascending order.
    pub fn starts(&self, filter: impl Fn(&TargetName, &RunRecord) -> bool) -> Vec<Instant> {
        let mut starts: Vec<Instant> = self
            .runs
            .iter()
            .flat_map(|(name, runs)| runs.iter().map(move |run| (name, run)))
            .filter(|(name, run)| filter(name, run))
            .map(|(_, run)| run.at)
            .collect();
        starts.sort_unstable();
        starts
    }

    /// The counts as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "crossed": self.crossed,
            "double_runs": self.double_runs,
            "failed": self.failed,
            "false_refusals": self.false_refusals,
            "missing": self.missing,
            "over_slots": self.over_slots,
            "reasons": self.reasons,
            "run_ratio": self.run_ratio,
            "unclean_stops": self.unclean_stops,
        })
    }
}

/// Maximum number of events in any window of the given length.
pub fn max_in_window(times: &[Instant], length: Duration) -> usize {
    let mut first = 0;
    let mut max = 0;
    for (last, time) in times.iter().enumerate() {
        while *time - times[first] >= length {
            first += 1;
        }
        max = max.max(last - first + 1);
    }
    max
}

fn runs_at_most_once(fleet: &Fleet, workload: &Workload) -> bool {
    let service = fleet.snapshot.service(&workload.service.into());
    let class = service.and_then(|s| s.settings.classes.get(workload.class));
    class.is_some_and(|c| c.repeat == RepeatRule::AtMostOnce)
}

fn max_over_slots(fleet: &Fleet) -> u32 {
    let targets = fleet.snapshot.services().flat_map(|s| &s.settings.targets);
    let excess = targets.filter_map(|(name, settings)| {
        let (max, _) = fleet.targets.get(name)?.peak_and_shed();
        Some(max.saturating_sub(settings.slots))
    });
    excess.max().unwrap_or(0)
}
