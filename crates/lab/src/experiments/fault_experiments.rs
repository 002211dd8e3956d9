//! Experiments on failures of entry VMs, links and the platform.

use super::{
    Bound, ExperimentResult, Measure, catalogue::ExperimentContext, load_experiments::slot_bound,
};
use crate::{PlatformFaults, RunResult, Scenario, ScheduledAction};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{error::Error, time::Duration};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Load during the faults, as a fraction of the slots.
const LOAD: f64 = 0.5;
/// Response delay of a slow platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(300);
/// One in this many responses to writes is lost.
const LOSE_EVERY: u64 = 5;

/// Returns the bounds on guarantees that must hold under every fault.
fn guarantee_bounds(run: &RunResult) -> Vec<Bound> {
    vec![
        Bound::none("requests that may run once and ran twice", run.checks.double_runs),
        Bound::none("refusals \"not run\" of requests that ran", run.checks.false_refusals),
        Bound::none("answers of another request", run.checks.crossed),
        Bound::none("requests without any end", run.checks.missing),
    ]
}

/// Returns the bound on requested stops that were not graceful.
fn unclean_stop_bound(run: &RunResult) -> Bound {
    Bound::none("planned stops that did not exit with 0 in time", run.checks.unclean_stops)
}

/// Returns the bound on the share of requests that were neither answered nor refused.
fn failed_share_bound(run: &RunResult, limit: f64) -> Bound {
    let share = run.checks.failed as f64 / run.arrivals.len().max(1) as f64;
    Bound::at_most(Measure::Promise, "part of requests that failed", share, limit)
}

async fn run_faults(
    context: &ExperimentContext<'_>,
    scenario: Scenario,
    extra_bounds: impl Fn(&RunResult) -> Vec<Bound>,
) -> Result<ExperimentResult> {
    let run = context.run("current", &scenario.max_retries(3)).await?;
    let mut bounds = guarantee_bounds(&run);
    bounds.extend(extra_bounds(&run));
    context.finish(vec![run], bounds)
}

/// Stops an entry VM gracefully and starts a replacement.
pub(super) async fn stop_entry(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context
        .scenario(LOAD)
        .at(4.0, ScheduledAction::StopEntry(1))
        .at(9.0, ScheduledAction::StartEntry(1));
    run_faults(context, scenario, |run| {
        vec![
            Bound::none("requests cut by a planned stop", run.checks.failed),
            unclean_stop_bound(run),
            slot_bound(run),
        ]
    })
    .await
}

/// Kills an entry VM and starts a replacement.
pub(super) async fn kill_entry(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context
        .scenario(LOAD)
        .at(4.0, ScheduledAction::KillEntry(1))
        .at(6.0, ScheduledAction::StartEntry(1));
    run_faults(context, scenario, |run| vec![failed_share_bound(run, 0.02)]).await
}

/// Pauses an entry VM for longer than the duration of any lease, then resumes it.
pub(super) async fn pause_entry(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context
        .scenario(LOAD)
        .at(4.0, ScheduledAction::PauseEntry(1, true))
        .at(9.0, ScheduledAction::PauseEntry(1, false));
    run_faults(context, scenario, |run| vec![failed_share_bound(run, 0.02)]).await
}

/// Partitions a region from the others, then reconnects it.
pub(super) async fn region_cut(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context
        .scenario(LOAD)
        .at(4.0, ScheduledAction::CutRegion(0, true))
        .at(10.0, ScheduledAction::CutRegion(0, false));
    run_faults(context, scenario, |run| vec![failed_share_bound(run, 0.02)]).await
}

/// Partitions an availability zone from all others and the platform, then reconnects it.
pub(super) async fn zone_cut(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context
        .scenario(LOAD)
        .at(4.0, ScheduledAction::CutZone(3, true))
        .at(10.0, ScheduledAction::CutZone(3, false));
    run_faults(context, scenario, |run| vec![failed_share_bound(run, 0.02)]).await
}

/// Makes the platform unreachable for all VMs, then restores it.
pub(super) async fn platform_down(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context
        .scenario(LOAD)
        .at(3.0, ScheduledAction::PlatformDown(true))
        .at(11.0, ScheduledAction::PlatformDown(false));
    run_faults(context, scenario, |run| vec![failed_share_bound(run, 0.02), slot_bound(run)]).await
}

/// Injects platform faults, then removes them.
async fn run_platform_faults(
    context: &ExperimentContext<'_>,
    faults: PlatformFaults,
) -> Result<ExperimentResult> {
    let scenario = context
        .scenario(LOAD)
        .at(3.0, ScheduledAction::PlatformFails(faults))
        .at(11.0, ScheduledAction::PlatformFails(PlatformFaults::new()));
    run_faults(context, scenario, |run| vec![failed_share_bound(run, 0.02), slot_bound(run)]).await
}

/// Delays the platform's responses.
pub(super) async fn platform_slow(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    run_platform_faults(context, PlatformFaults::new().delay(PLATFORM_DELAY)).await
}

/// Drops the platform's responses to writes that took effect.
pub(super) async fn lost_answers(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    run_platform_faults(context, PlatformFaults::new().lose_answers(LOSE_EVERY)).await
}

/// Stops and replaces the entry VMs one after another.
pub(super) async fn replace_all(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let mut scenario = context.scenario(LOAD);
    let mut at = 1.0;
    for (vm, _) in context.deployment.entry_vms() {
        scenario = scenario
            .at(at, ScheduledAction::StopEntry(vm))
            .at(at + 4.0, ScheduledAction::StartEntry(vm));
        at += 6.0;
    }
    scenario.length = Duration::from_secs_f64(at + 2.0);
    run_faults(context, scenario, |run| {
        vec![
            Bound::none("requests cut by planned stops", run.checks.failed),
            unclean_stop_bound(run),
        ]
    })
    .await
}

/// Applies a seeded random sequence of kills, stops, pauses, partitions and platform outages.
pub(super) async fn chaos(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let mut rng = StdRng::seed_from_u64(context.options.seed);
    let vms = context.deployment.entry_vms().len() as u8;
    let mut scenario = context.scenario(LOAD);
    scenario.length = Duration::from_secs(40);
    let mut at = 2.0;
    while at < 32.0 {
        let vm = rng.random_range(1..=vms);
        let length = rng.random_range(1.0..4.0);
        let (first, last) = match rng.random_range(0..6) {
            0 => (ScheduledAction::KillEntry(vm), ScheduledAction::StartEntry(vm)),
            1 => (ScheduledAction::PauseEntry(vm, true), ScheduledAction::PauseEntry(vm, false)),
            2 => {
                let zone = rng.random_range(1..=6);
                (ScheduledAction::CutZone(zone, true), ScheduledAction::CutZone(zone, false))
            }
            3 => {
                let region = rng.random_range(0..3);
                (
                    ScheduledAction::CutRegion(region, true),
                    ScheduledAction::CutRegion(region, false),
                )
            }
            4 => (ScheduledAction::PlatformDown(true), ScheduledAction::PlatformDown(false)),
            _ => (ScheduledAction::StopEntry(vm), ScheduledAction::StartEntry(vm)),
        };
        scenario = scenario.at(at, first).at(at + length, last);
        at += length + rng.random_range(0.5..2.0);
    }
    scenario.actions.sort_by_key(|(at, _)| *at);
    run_faults(context, scenario, |_| Vec::new()).await
}
