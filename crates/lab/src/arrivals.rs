//! Seeded open-loop request arrivals, which don't depend on the responses.

use crate::{Scenario, Workload, workload::STRAGGLER_FACTOR};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use steer::{MemberName, Snapshot};

/// A request that the run will send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time after the start of the run.
    pub at: Duration,
    /// Request number; also its index in [`RunResult::results`](crate::RunResult::results).
    pub id: u64,
    /// Member that sends it.
    pub member: MemberName,
    /// Index of the caller's home region.
    pub region: usize,
    /// Service time.
    pub work: Duration,
    /// Index in the list of workloads.
    pub workload: usize,
}

/// Generates the arrivals of a run in order of time; the same seed gives the same arrivals.
///
/// Each workload has its own random number generator, so that omitting a workload or adding a
/// flood leaves the other arrivals unchanged.
pub fn make_arrivals(
    workloads: &[Workload],
    snapshot: &Snapshot,
    scenario: &Scenario,
) -> Vec<Arrival> {
    let regions = snapshot.fleet().map_or(1, |fleet| fleet.regions.len());
    let weights = member_weights(snapshot);
    let mut arrivals = Vec::new();
    for (index, workload) in workloads.iter().enumerate() {
        if scenario.omits(workload) {
            continue;
        }
        let rate = workload.rate(snapshot, scenario.load);
        let mut rng = StdRng::seed_from_u64(scenario.seed * 1000 + index as u64);
        let mut at = sample_interval(&mut rng, rate);
        while at < scenario.length {
            let arrival = sample_arrival(&mut rng, &weights, regions, index, workload);
            arrivals.push(Arrival { at, ..arrival });
            at += sample_interval(&mut rng, rate);
        }
        if let Some((member, factor)) = &scenario.flood
            && workload.is_interactive()
        {
            let share = weights.iter().find(|(m, _)| m == member).map_or(0.0, |(_, w)| *w);
            let extra = rate * share * (factor - 1.0);
            let mut rng = StdRng::seed_from_u64(scenario.seed * 1000 + 500 + index as u64);
            let mut at = sample_interval(&mut rng, extra);
            while at < scenario.length {
                let arrival = sample_arrival(&mut rng, &weights, regions, index, workload);
                arrivals.push(Arrival { at, member: member.clone(), ..arrival });
                at += sample_interval(&mut rng, extra);
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (id, arrival) in arrivals.iter_mut().enumerate() {
        arrival.id = id as u64;
    }
    arrivals
}

/// Members with their fractions of the traffic, in proportion to their weights.
fn member_weights(snapshot: &Snapshot) -> Vec<(MemberName, f64)> {
    let members = snapshot.fleet().map(|fleet| &fleet.members);
    let total: u32 = members.iter().flat_map(|m| m.values()).map(|m| m.weight).sum();
    let fraction = |weight| f64::from(weight) / f64::from(total.max(1));
    members.into_iter().flatten().map(|(name, m)| (name.clone(), fraction(m.weight))).collect()
}

fn sample_arrival(
    rng: &mut StdRng,
    weights: &[(MemberName, f64)],
    regions: usize,
    index: usize,
    workload: &Workload,
) -> Arrival {
    let is_straggler = rng.random_bool(workload.stragglers);
    let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
    let spread = rng.random_range(0.5..1.5);
    let mut point: f64 = rng.random();
    let member = weights.iter().find(|(_, weight)| {
        point -= weight;
        point <= 0.0
    });
    Arrival {
        at: Duration::ZERO,
        id: 0,
        member: member.or(weights.last()).map_or_else(|| "anonymous".into(), |(m, _)| m.clone()),
        region: rng.random_range(0..regions),
        work: Duration::from_secs_f64(workload.mean_ms / 1e3 * spread * factor),
        workload: index,
    }
}

/// Samples an exponentially distributed inter-arrival time.
fn sample_interval(rng: &mut StdRng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
