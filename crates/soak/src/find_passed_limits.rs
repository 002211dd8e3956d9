//! Checks that targets get no more requests than the limits that they name allow.

use crate::{Arrival, CallOutcome, Completion, HistoryRecorder, Subject, Violation};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Length of the window in which the requests of a limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after its first response with a limit from which the requests of a VM count.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Returns how many requests a target may get in a window; the operators' bound.
fn bound(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// Finds limited targets that got too many requests from VMs that had passed on a response with the
/// limit. A restart or suspension of a VM since that response excuses it, and so does a cut of its
/// connection to the store.
pub(crate) fn find_passed_limits(recorder: &HistoryRecorder) -> Vec<Violation> {
    let (limits, arrivals) = (recorder.limits(), recorder.arrivals());
    let completions = recorder.completions();
    let mut exchanges: BTreeMap<usize, Vec<(Arrival, &Completion)>> = BTreeMap::new();
    for (id, all) in &arrivals {
        let Some(completion) = completions.get(id) else { continue };
        for arrival in all {
            exchanges.entry(arrival.target).or_default().push((*arrival, completion));
        }
    }
    let mut found = Vec::new();
    for (i, (from, target, rate)) in limits.iter().enumerate() {
        let Some(rate) = rate else { continue };
        let later = limits[i + 1..].iter().find(|(_, other, _)| other == target);
        let Some((to, ..)) = later else { continue };
        let exchanges = exchanges.get(target).map_or(&[][..], Vec::as_slice);
        let counted = find_counted(recorder, exchanges, *from, *to);
        let from = *from + HistoryRecorder::STABLE_WINDOW;
        let counted: Vec<Instant> = counted.into_iter().filter(|at| *at >= from).collect();
        let windows = counted.iter().map(|at| {
            let window = *at..*at + WINDOW;
            counted.iter().filter(|at| window.contains(at)).count()
        });
        let most = windows.max().unwrap_or_default();
        if most as f64 > bound(*rate) {
            let allowed = bound(*rate);
            let detail = format!("target {target}, limit {rate}: {most} in 4 s, allowed {allowed}");
            found.push(Violation { detail, promise: "a target's limit is kept" });
        }
    }
    found
}

/// Returns the arrivals while a limit is named that count against it.
fn find_counted(
    recorder: &HistoryRecorder,
    exchanges: &[(Arrival, &Completion)],
    from: Instant,
    to: Instant,
) -> Vec<Instant> {
    // When each VM passed on its first response with the limit.
    let mut noticed: BTreeMap<usize, Instant> = BTreeMap::new();
    for (arrival, completion) in exchanges {
        let passed_on = matches!(completion.outcome, CallOutcome::Answer(_));
        if arrival.limited && passed_on && (from..to).contains(&completion.at) {
            let at = noticed.entry(completion.vm).or_insert(completion.at);
            *at = (*at).min(completion.at);
        }
    }
    let counts = |arrival: &Arrival, completion: &Completion| {
        let Some(noticed) = noticed.get(&completion.vm) else { return false };
        let subjects = [Subject::Link(completion.vm), Subject::Vm(completion.vm)];
        arrival.at >= *noticed + NOTICE_TIME
            && arrival.at < to
            && subjects.into_iter().all(|s| recorder.is_undisrupted(s, *noticed, arrival.at))
    };
    let counted = exchanges.iter().filter(|(arrival, completion)| counts(arrival, completion));
    let mut counted: Vec<Instant> = counted.map(|(arrival, _)| arrival.at).collect();
    counted.sort();
    counted
}
