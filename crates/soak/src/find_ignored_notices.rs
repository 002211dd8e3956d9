//! Checks that VMs heed what targets say of themselves in their responses.

use crate::{
    Arrival, CallOutcome, Completion, HistoryRecorder, Notice, Subject, Violation,
    find_violations::DRAIN_BOUND,
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time after a refusal from which the pause that it asks for is counted; the operators' bound.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Number of requests that a target may get in a pause; the operators' bound.
const PAUSE_REQUESTS: usize = 2;

/// A VM and an incarnation of a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Pair {
    incarnation: u64,
    target: usize,
    vm: usize,
}

/// Requests of a VM at an incarnation of a target.
#[derive(Default)]
struct Exchanges<'a> {
    arrivals: Vec<(&'a str, Arrival, Instant)>,
    /// When responses that announced the target's leaving had been passed on.
    leaving: Vec<Instant>,
    pauses: Vec<(Instant, Duration)>,
}

/// Finds requests to targets that had announced that they leave, or had asked to be spared.
pub(crate) fn find_ignored_notices(recorder: &HistoryRecorder) -> Vec<Violation> {
    let (arrivals, completions) = (recorder.arrivals(), recorder.completions());
    let runs = recorder.runs();
    let mut pairs: BTreeMap<Pair, Exchanges> = BTreeMap::new();
    for (id, all) in &arrivals {
        // The soak ended before the other requests.
        let Some(completion) = completions.get(id) else { continue };
        for arrival in all {
            let Arrival { incarnation, target, .. } = *arrival;
            let pair = Pair { incarnation, target, vm: completion.vm };
            let exchanges = pairs.entry(pair).or_default();
            let run = runs.get(id).into_iter().flatten().find(|run| run.target == target);
            // If there are several arrivals, the response that was passed on may be another one.
            let undisrupted =
                recorder.is_undisrupted(Subject::Target(target), arrival.at, completion.at);
            let head_arrived = run.is_some_and(|run| run.style.sends_head()) && undisrupted;
            exchanges.add(id, *arrival, completion, all.len() == 1 || head_arrived);
        }
    }
    let mut found = Vec::new();
    for (pair, exchanges) in &mut pairs {
        exchanges.leaving.sort();
        found.extend(exchanges.check_leaving(*pair, recorder));
        found.extend(exchanges.check_pauses(*pair, recorder));
    }
    found
}

impl<'a> Exchanges<'a> {
    /// Adds an arrival. Its announcement counts only if `head_arrived`.
    fn add(&mut self, id: &'a str, arrival: Arrival, completion: &Completion, head_arrived: bool) {
        self.arrivals.push((id, arrival, completion.sent));
        let is_answer = matches!(completion.outcome, CallOutcome::Answer(_));
        match arrival.notice {
            Some(Notice::Leaving) if is_answer && head_arrived => {
                self.leaving.push(completion.at);
            }
            Some(Notice::Pause(time)) => self.pauses.push((arrival.at, time)),
            _ => {}
        }
    }

    /// A restart or suspension of the VM since the announcement is an excuse.
    fn check_leaving(&self, pair: Pair, recorder: &HistoryRecorder) -> Vec<Violation> {
        let mut found = Vec::new();
        for (id, arrival, sent) in &self.arrivals {
            let before = self.leaving.iter().rev().find(|at| **at + DRAIN_BOUND < *sent);
            if let Some(at) = before
                && recorder.is_undisrupted(Subject::Vm(pair.vm), *at, arrival.at)
            {
                let late = (*sent - *at).as_millis();
                let detail =
                    format!("{id}: VM {} to target {}, {late} ms later", pair.vm, pair.target);
                found.push(Violation { detail, promise: "a target that says it leaves is left" });
            }
        }
        found
    }

    /// A restart, suspension or cut of the VM or of the target's connections is an excuse.
    fn check_pauses(&self, pair: Pair, recorder: &HistoryRecorder) -> Vec<Violation> {
        let mut found = Vec::new();
        for (at, time) in &self.pauses {
            let (from, to) = (*at + PAUSE_SLACK, *at + *time);
            let arrivals = self.arrivals.iter().filter(|(_, a, _)| from < a.at && a.at < to);
            let count = arrivals.count();
            let subjects =
                [Subject::Link(pair.vm), Subject::Target(pair.target), Subject::Vm(pair.vm)];
            let calm = subjects.into_iter().all(|s| recorder.is_undisrupted(s, *at, to));
            if count > PAUSE_REQUESTS && calm {
                let Pair { target, vm, .. } = pair;
                let detail = format!(
                    "{count} requests of VM {vm} at target {target} in its pause of {} ms",
                    time.as_millis()
                );
                found.push(Violation { detail, promise: "a target is spared as it asks" });
            }
        }
        found
    }
}
