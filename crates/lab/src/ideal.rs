//! Reference model: one central queue per service, simulated with the same arrivals.

use crate::{Arrival, Deployment, Outcome, Report, Workload};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};
use steer::Snapshot;

/// Simulates latencies as if all slots of a service were fed from one central priority queue.
///
/// The latency is the network delay, plus the wait for a free slot with urgent requests first, plus
/// the service time.
pub fn ideal_report(
    deployment: Deployment,
    workloads: &[Workload],
    snapshot: &Snapshot,
    arrivals: &[Arrival],
) -> Report {
    let mut report = Report::default();
    let mut services: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals {
        services.entry(workloads[arrival.workload].service).or_default().push(arrival);
    }
    let network_delay = Duration::from_secs_f64(deployment.client_delay() * 2.0 / 1e3);
    for (service, arrivals) in services {
        let settings = snapshot.service(&service.into()).map(|s| &s.settings);
        let slots: u32 = settings.map_or(0, |s| s.targets.values().map(|t| t.slots).sum());
        for (arrival, end) in simulate_queue(workloads, &arrivals, slots) {
            let latency = network_delay + end.saturating_sub(arrival.at);
            report.note(arrival, &workloads[arrival.workload], Outcome::Answered, latency);
        }
    }
    report
}

/// Simulates a queue that serves urgent requests first; returns the time each request ends.
fn simulate_queue<'a>(
    workloads: &[Workload],
    arrivals: &[&'a Arrival],
    slots: u32,
) -> Vec<(&'a Arrival, Duration)> {
    let mut ends: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let mut waiting = BinaryHeap::new();
    let mut done = Vec::with_capacity(arrivals.len());
    let mut next = 0;
    let mut now = Duration::ZERO;
    while next < arrivals.len() || !waiting.is_empty() {
        while let Some(Reverse(end)) = ends.peek()
            && *end <= now
        {
            ends.pop();
        }
        while next < arrivals.len() && arrivals[next].at <= now {
            let urgency = workloads[arrivals[next].workload].urgency;
            waiting.push(Reverse((urgency, next)));
            next += 1;
        }
        while ends.len() < slots as usize
            && let Some(Reverse((_, index))) = waiting.pop()
        {
            let end = now + arrivals[index].work;
            ends.push(Reverse(end));
            done.push((arrivals[index], end));
        }
        let next_arrival = arrivals.get(next).map(|a| a.at);
        let next_end = ends.peek().map(|Reverse(end)| *end).filter(|_| !waiting.is_empty());
        match [next_arrival, next_end].into_iter().flatten().min() {
            Some(time) => now = time,
            None => break,
        }
    }
    done
}
