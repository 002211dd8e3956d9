//! Simulates an ideal load balancer as a reference for measured latencies.

use crate::{Arrival, Deployment, RequestOutcome, RunReport, Workload};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};
use steer::Snapshot;

/// Simulates one queue for each service, from which all targets of the service take requests.
///
/// A free slot takes the most urgent request, and the earliest of equally urgent ones. The latency
/// of a request is the network round trip between its caller and its region, the wait for a slot
/// and the service time.
pub fn simulate_central_queue(
    deployment: Deployment,
    workloads: &[Workload],
    snapshot: &Snapshot,
    arrivals: &[Arrival],
) -> RunReport {
    let mut report = RunReport::default();
    let mut services: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals {
        services.entry(workloads[arrival.workload].service).or_default().push(arrival);
    }
    let round_trip = Duration::from_secs_f64(deployment.client_delay() * 2.0 / 1e3);
    for (service, arrivals) in services {
        let settings = snapshot.service(&service.into()).map(|s| &s.settings);
        let slots: u32 = settings.map_or(0, |s| s.targets.values().map(|t| t.slots).sum());
        for (arrival, end) in simulate_service(workloads, &arrivals, slots) {
            let latency = round_trip + end.saturating_sub(arrival.at);
            report.record(arrival, &workloads[arrival.workload], RequestOutcome::Answered, latency);
        }
    }
    report
}

/// Simulates the queue of one service. Returns each request with the time at which it ends.
fn simulate_service<'a>(
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
            // Reversed, so that the heap returns the most urgent and then the earliest request.
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
