//! Experiments on failures of entry VMs, links and the platform.

use super::{Bound, ExperimentResult, Measure, catalogue::Bench, load_experiments::over_slots};
use crate::{Action, PlatformFaults, RunResult, Scenario};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{error::Error, time::Duration};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Load under which entry VMs, links and the platform fail.
const LOAD: f64 = 0.5;
/// Time that a slow platform takes for each answer.
const SLOW_PLATFORM: Duration = Duration::from_millis(300);
/// One answer to a write in as many is lost.
const LOSE_EVERY: u64 = 5;

/// The promises that hold whatever fails.
fn promises(run: &RunResult) -> Vec<Bound> {
    vec![
        Bound::none("requests that may run once and ran twice", run.checks.double_runs),
        Bound::none("refusals \"not run\" of requests that ran", run.checks.false_refusals),
        Bound::none("answers of another request", run.checks.crossed),
        Bound::none("requests without any end", run.checks.missing),
    ]
}

/// Planned stops of an entry VM that were not orderly.
fn unclean_stops(run: &RunResult) -> Bound {
    Bound::none("planned stops that did not exit with 0 in time", run.checks.unclean_stops)
}

/// Part of the requests that ended with neither answer nor refusal.
fn failed_part(run: &RunResult, limit: f64) -> Bound {
    let part = run.checks.failed as f64 / run.arrivals.len().max(1) as f64;
    Bound::at_most(Measure::Promise, "part of requests that failed", part, limit)
}

async fn run_faults(
    bench: &Bench<'_>,
    scenario: Scenario,
    judge: impl Fn(&RunResult) -> Vec<Bound>,
) -> Result<ExperimentResult> {
    let run = bench.run("current", &scenario.repeats(3)).await?;
    let mut bounds = promises(&run);
    bounds.extend(judge(&run));
    bench.finish(vec![run], bounds)
}

/// An entry VM is asked to stop, and a new one takes its place.
pub(super) async fn stop_entry(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario =
        bench.scenario(LOAD).at(4.0, Action::StopEntry(1)).at(9.0, Action::StartEntry(1));
    run_faults(bench, scenario, |run| {
        vec![
            Bound::none("requests cut by a planned stop", run.checks.failed),
            unclean_stops(run),
            over_slots(run),
        ]
    })
    .await
}

/// An entry VM is killed, and a new one takes its place.
pub(super) async fn kill_entry(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario =
        bench.scenario(LOAD).at(4.0, Action::KillEntry(1)).at(6.0, Action::StartEntry(1));
    run_faults(bench, scenario, |run| vec![failed_part(run, 0.02)]).await
}

/// An entry VM stands still for longer than any lease, then goes on.
pub(super) async fn pause_entry(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario = bench
        .scenario(LOAD)
        .at(4.0, Action::PauseEntry(1, true))
        .at(9.0, Action::PauseEntry(1, false));
    run_faults(bench, scenario, |run| vec![failed_part(run, 0.02)]).await
}

/// A region is cut off from the others for a while.
pub(super) async fn region_cut(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario = bench
        .scenario(LOAD)
        .at(4.0, Action::CutRegion(0, true))
        .at(10.0, Action::CutRegion(0, false));
    run_faults(bench, scenario, |run| vec![failed_part(run, 0.02)]).await
}

/// An availability zone is cut off from all others and the platform for a while.
pub(super) async fn zone_cut(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario =
        bench.scenario(LOAD).at(4.0, Action::CutZone(3, true)).at(10.0, Action::CutZone(3, false));
    run_faults(bench, scenario, |run| vec![failed_part(run, 0.02)]).await
}

/// No VM reaches the platform for a while.
pub(super) async fn platform_down(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario = bench
        .scenario(LOAD)
        .at(3.0, Action::PlatformDown(true))
        .at(11.0, Action::PlatformDown(false));
    run_faults(bench, scenario, |run| vec![failed_part(run, 0.02), over_slots(run)]).await
}

/// The platform fails in a stated way for a while.
async fn platform_fails(bench: &Bench<'_>, faults: PlatformFaults) -> Result<ExperimentResult> {
    let scenario = bench
        .scenario(LOAD)
        .at(3.0, Action::PlatformFails(faults))
        .at(11.0, Action::PlatformFails(PlatformFaults::new()));
    run_faults(bench, scenario, |run| vec![failed_part(run, 0.02), over_slots(run)]).await
}

/// The platform takes long for each answer for a while.
pub(super) async fn platform_slow(bench: &Bench<'_>) -> Result<ExperimentResult> {
    platform_fails(bench, PlatformFaults::new().delay(SLOW_PLATFORM)).await
}

/// Answers to writes that took effect are lost for a while.
pub(super) async fn lost_answers(bench: &Bench<'_>) -> Result<ExperimentResult> {
    platform_fails(bench, PlatformFaults::new().lose_answers(LOSE_EVERY)).await
}

/// Every entry VM in turn is stopped and replaced.
pub(super) async fn replace_all(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let mut scenario = bench.scenario(LOAD);
    let mut at = 1.0;
    for (vm, _) in bench.deployment.entry_vms() {
        scenario = scenario.at(at, Action::StopEntry(vm)).at(at + 4.0, Action::StartEntry(vm));
        at += 6.0;
    }
    scenario.length = Duration::from_secs_f64(at + 2.0);
    run_faults(bench, scenario, |run| {
        vec![Bound::none("requests cut by planned stops", run.checks.failed), unclean_stops(run)]
    })
    .await
}

/// Kills, pauses, cuts and platform outages in a seeded mix.
pub(super) async fn chaos(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let mut rng = StdRng::seed_from_u64(bench.options.seed);
    let vms = bench.deployment.entry_vms().len() as u8;
    let mut scenario = bench.scenario(LOAD);
    scenario.length = Duration::from_secs(40);
    let mut at = 2.0;
    while at < 32.0 {
        let vm = rng.random_range(1..=vms);
        let length = rng.random_range(1.0..4.0);
        let (first, last) = match rng.random_range(0..6) {
            0 => (Action::KillEntry(vm), Action::StartEntry(vm)),
            1 => (Action::PauseEntry(vm, true), Action::PauseEntry(vm, false)),
            2 => {
                let zone = rng.random_range(1..=6);
                (Action::CutZone(zone, true), Action::CutZone(zone, false))
            }
            3 => {
                let region = rng.random_range(0..3);
                (Action::CutRegion(region, true), Action::CutRegion(region, false))
            }
            4 => (Action::PlatformDown(true), Action::PlatformDown(false)),
            _ => (Action::StopEntry(vm), Action::StartEntry(vm)),
        };
        scenario = scenario.at(at, first).at(at + length, last);
        at += length + rng.random_range(0.5..2.0);
    }
    scenario.actions.sort_by_key(|(at, _)| *at);
    run_faults(bench, scenario, |_| Vec::new()).await
}
