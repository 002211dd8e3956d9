//! Seeded arrivals of requests: an open loop, whatever the answers.

use crate::{Scenario, Workload, workload::STRAGGLER_FACTOR};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use steer::{MemberName, Snapshot};

/// One request that will be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time after the start of the run.
    pub at: Duration,
    /// Number of the request.
    pub id: u64,
    /// Member that sends it.
    pub member: MemberName,
    /// Number of the caller's home region.
    pub region: usize,
    /// Service time.
    pub work: Duration,
    /// Place in the list of workloads.
    pub workload: usize,
}

/// Makes the arrivals of a run in order of time, the same for the same seed.
///
/// Each kind of request has a generator of its own, so that leaving one out, or flooding with
/// another member, changes nothing for the rest.
pub fn make_arrivals(
    workloads: &[Workload],
    snapshot: &Snapshot,
    scenario: &Scenario,
) -> Vec<Arrival> {
    let regions = snapshot.fleet().map_or(1, |fleet| fleet.regions.len());
    let weights = member_weights(snapshot);
    let mut all = Vec::new();
    for (index, workload) in workloads.iter().enumerate() {
        if scenario.leaves_out(workload) {
            continue;
        }
        let rate = workload.rate(snapshot, scenario.load);
        let mut rng = StdRng::seed_from_u64(scenario.seed * 1000 + index as u64);
        let mut at = exponential(&mut rng, rate);
        while at < scenario.length {
            let arrival = draw(&mut rng, &weights, regions, index, workload);
            all.push(Arrival { at, ..arrival });
            at += exponential(&mut rng, rate);
        }
        if let Some((member, factor)) = &scenario.flood
            && workload.is_short()
        {
            let share = weights.iter().find(|(m, _)| m == member).map_or(0.0, |(_, w)| *w);
            let extra = rate * share * (factor - 1.0);
            let mut rng = StdRng::seed_from_u64(scenario.seed * 1000 + 500 + index as u64);
            let mut at = exponential(&mut rng, extra);
            while at < scenario.length {
                let arrival = draw(&mut rng, &weights, regions, index, workload);
                all.push(Arrival { at, member: member.clone(), ..arrival });
                at += exponential(&mut rng, extra);
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    for (id, arrival) in all.iter_mut().enumerate() {
        arrival.id = id as u64;
    }
    all
}

/// Members with their parts of the traffic, by weight.
fn member_weights(snapshot: &Snapshot) -> Vec<(MemberName, f64)> {
    let members = snapshot.fleet().map(|fleet| &fleet.members);
    let total: u32 = members.iter().flat_map(|m| m.values()).map(|m| m.weight).sum();
    let part = |weight| f64::from(weight) / f64::from(total.max(1));
    members.into_iter().flatten().map(|(name, m)| (name.clone(), part(m.weight))).collect()
}

fn draw(
    rng: &mut StdRng,
    weights: &[(MemberName, f64)],
    regions: usize,
    index: usize,
    workload: &Workload,
) -> Arrival {
    let straggles = rng.random_bool(workload.stragglers);
    let factor = if straggles { STRAGGLER_FACTOR } else { 1.0 };
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

fn exponential(rng: &mut StdRng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
