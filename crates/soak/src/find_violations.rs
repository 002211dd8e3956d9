//! Checks recorded events against the promises to callers and operators.

use crate::{
    CallOutcome, Completion, HistoryRecorder, Kind, PlannedChange, Run, Subject,
    find_ignored_notices::find_ignored_notices, find_passed_limits::find_passed_limits,
    soak_fleet::ZONES,
};
use derive_more::Display;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time after which a draining target gets no new requests; the operators' bound.
pub(crate) const DRAIN_BOUND: Duration = Duration::from_millis(2_500);
/// Time after which an evacuated zone gets no new requests; the operators' bound.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Time after which a new configuration is in force; the operators' bound.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_500);
/// Maximum time from sending a request to its end: the deadline of 3 s, the 0.5 s that the rules
/// allow beyond it, and a margin for the time limit of the caller's own connection.
const COMPLETION_BOUND: Duration = Duration::from_millis(3_600);

/// Deadline of the reads that are not pipelined.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time before the deadline from which a response may cross it on its way.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// A broken promise.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{promise}: {detail}")]
pub struct Violation {
    /// Observed behaviour.
    pub detail: String,
    /// Promise that was broken.
    pub promise: &'static str,
}

/// Finds all broken promises. Requests sent after `recovered` must be served again.
pub fn find_violations(recorder: &HistoryRecorder, recovered: Instant) -> Vec<Violation> {
    let checker = Checker {
        completions: recorder.completions(),
        recorder,
        changes: recorder.changes(),
        runs: recorder.runs(),
    };
    let mut found = checker.check_completions();
    for (id, runs) in &checker.runs {
        found.extend(checker.check_runs(id, runs));
    }
    found.extend(checker.check_recovery(recovered));
    found.extend(find_ignored_notices(recorder));
    found.extend(find_passed_limits(recorder));
    for detail in recorder.process_failures() {
        found.push(Violation { detail, promise: "a planned stop ends in time" });
    }
    found
}

struct Checker<'a> {
    completions: BTreeMap<String, Completion>,
    recorder: &'a HistoryRecorder,
    changes: Vec<(Instant, PlannedChange)>,
    runs: BTreeMap<String, Vec<Run>>,
}

impl Checker<'_> {
    fn check_completions(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (id, completion) in &self.completions {
            let runs = self.runs.get(id).map_or(&[][..], Vec::as_slice);
            let broken = match &completion.outcome {
                CallOutcome::Answer(body) if body != "whole" => {
                    let sources: Vec<_> = runs.iter().map(|run| (run.target, run.style)).collect();
                    let detail = format!("{body:?}, ran at {sources:?}");
                    Some(("an answer is whole and the request's own", detail))
                }
                CallOutcome::Answer(_) if runs.is_empty() => {
                    Some(("an answer comes from a target", "no target ran it".to_owned()))
                }
                CallOutcome::Status(status @ (408 | 421 | 429 | 503))
                    if !is_repeatable(completion.kind) =>
                {
                    let ran = !runs.is_empty();
                    ran.then(|| ("a refusal is true", format!("{status}, yet it ran")))
                }
                CallOutcome::Status(404) => {
                    Some(("a known route is never denied", format!("of VM {}", completion.vm)))
                }
                CallOutcome::Broken
                    if completion.pipelined
                        && (self.was_lost(completion, runs) || self.was_cut(completion, runs)) =>
                {
                    let cut = self.first_cut(id);
                    let detail = format!("not by VM {}, {cut}", completion.vm);
                    Some(("a pipelined read is answered", detail))
                }
                CallOutcome::Broken
                    if self.was_lost(completion, runs) && !met_deadline(completion, runs) =>
                {
                    Some(("a read that ran is answered", format!("not by VM {}", completion.vm)))
                }
                CallOutcome::Broken if self.was_cut(completion, runs) => {
                    let ends: Vec<_> =
                        runs.iter().map(|run| describe_run(run, completion)).collect();
                    let detail = format!("by VM {}, ran at {ends:?}", completion.vm);
                    Some(("a planned stop cuts nothing", detail))
                }
                CallOutcome::None if self.is_overdue(completion) => {
                    Some(("each request has an end", format!("none from VM {}", completion.vm)))
                }
                _ => None,
            };
            if let Some((promise, detail)) = broken {
                let kind = completion.kind;
                found.push(Violation { detail: format!("{kind:?} {id}: {detail}"), promise });
            }
        }
        found
    }

    fn is_overdue(&self, completion: &Completion) -> bool {
        self.recorder.was_connected(completion.vm, completion.sent, completion.at)
            && completion.at - completion.sent > COMPLETION_BOUND
    }

    /// Whether a request reached a target while neither the VM nor the target was disrupted, so that
    /// a failed connection is the fault of the VM.
    fn was_cut(&self, completion: &Completion, runs: &[Run]) -> bool {
        !runs.is_empty()
            && runs
                .iter()
                .all(|run| run.style.is_sound() && self.is_target_undisrupted(completion, run))
            && self.is_vm_undisrupted(completion)
    }

    /// Whether a target had written its whole response to a read before the connection to the VM
    /// failed, and neither was disrupted.
    fn was_lost(&self, completion: &Completion, runs: &[Run]) -> bool {
        let answered = |run: &Run| {
            run.style.is_sound()
                && run.ended.is_some_and(|ended| ended <= completion.at)
                && self.is_target_undisrupted(completion, run)
        };
        is_repeatable(completion.kind)
            && runs.iter().any(answered)
            && self.is_vm_undisrupted(completion)
    }

    /// Describes the first read that was cut in the group of a pipelined read, and the outcomes of
    /// the reads before it.
    fn first_cut(&self, id: &str) -> String {
        let group = id.rsplit_once('-').map_or(id, |(group, _)| group);
        let mut before = Vec::new();
        for read in (0..).map(|i| format!("{group}-{i}")).take_while(|read| read != id) {
            match self.completions.get(&read).map(|completion| &completion.outcome) {
                Some(CallOutcome::Broken) => {
                    let runs = self.runs.get(&read).into_iter().flatten();
                    let styles: Vec<_> = runs.map(|run| run.style).collect();
                    return format!("behind {read} {styles:?} after {before:?}");
                }
                outcome => before.extend(outcome),
            }
        }
        format!("nothing was cut before it, after {before:?}")
    }

    fn is_target_undisrupted(&self, completion: &Completion, run: &Run) -> bool {
        let from = completion.sent - DRAIN_BOUND;
        self.recorder.is_undisrupted(Subject::Target(run.target), from, completion.at)
    }

    fn is_vm_undisrupted(&self, completion: &Completion) -> bool {
        let subjects = [Subject::Link(completion.vm), Subject::Vm(completion.vm)];
        subjects
            .into_iter()
            .all(|subject| self.recorder.is_undisrupted(subject, completion.sent, completion.at))
    }

    fn check_runs(&self, id: &str, runs: &[Run]) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut report = |promise: &'static str, detail: String| {
            found.push(Violation { detail: format!("{id}: {detail}"), promise });
        };
        let Some(completion) = self.completions.get(id) else {
            // The request was still in progress when the soak ended.
            return found;
        };
        if !is_repeatable(completion.kind) && runs.len() > 1 {
            report(
                "what may run once runs once",
                format!("{:?} ran {} times", completion.kind, runs.len()),
            );
        }
        for run in runs {
            if run.unnamed {
                report("a target is named in its request", format!("target {}", run.target));
            }
            if let Some(age) = self.forbidden_for(run, |change| match change {
                PlannedChange::Drained(target) if *target == run.target => Some(true),
                PlannedChange::Undrained(target) if *target == run.target => Some(false),
                _ => None,
            }) && age > DRAIN_BOUND
                && self.recorder.was_connected(completion.vm, run.at - DRAIN_BOUND, run.at)
            {
                report(
                    "a leaving target gets no new work",
                    format!("{} ms later", age.as_millis()),
                );
            }
            if let Some(age) = self.forbidden_for(run, |change| match change {
                PlannedChange::Evacuated(zone) if run.target % ZONES.len() == *zone => Some(true),
                PlannedChange::EvacuationCancelled(zone) if run.target % ZONES.len() == *zone => {
                    Some(false)
                }
                _ => None,
            }) && age > EVACUATION_BOUND
                && self.recorder.was_connected(completion.vm, run.at - EVACUATION_BOUND, run.at)
            {
                report("an evacuated zone gets no work", format!("{} ms later", age.as_millis()));
            }
            if completion.kind == Kind::Moved && !self.is_allowed_service(completion, run) {
                report("a configuration is in force in time", format!("ran at {}", run.service));
            }
        }
        found
    }

    /// Returns the age of the latest planned change that applies to a run, if it forbids the run.
    /// `forbids` returns `None` for changes that don't apply.
    fn forbidden_for(
        &self,
        run: &Run,
        forbids: impl Fn(&PlannedChange) -> Option<bool>,
    ) -> Option<Duration> {
        let before = self.changes.iter().rev().filter(|(at, _)| *at <= run.at);
        let mut verdicts = before.filter_map(|(at, change)| Some((*at, forbids(change)?)));
        let (at, forbidden) = verdicts.next()?;
        forbidden.then(|| run.at - at)
    }

    /// Whether the route `moved` of a configuration that may be in force leads to the run's
    /// service.
    fn is_allowed_service(&self, completion: &Completion, run: &Run) -> bool {
        if !self.recorder.was_connected(
            completion.vm,
            completion.sent - CONFIGURATION_BOUND,
            run.at,
        ) {
            return true;
        }
        let services = self.changes.iter().filter_map(|(at, change)| match change {
            PlannedChange::Configured(service) => Some((*at, *service)),
            _ => None,
        });
        let services: Vec<(Instant, &str)> = services.collect();
        let ends = services.iter().skip(1).map(|(at, _)| Some(*at)).chain([None]);
        let mut spans = services.iter().zip(ends);
        spans.any(|((from, service), to)| {
            let over = to.is_some_and(|to| to + CONFIGURATION_BOUND < completion.sent);
            *service == run.service && *from <= run.at && !over
        })
    }

    fn check_recovery(&self, recovered: Instant) -> Option<Violation> {
        let requests = self.completions.values().filter(|completion| completion.sent >= recovered);
        let (served, failed): (Vec<&Completion>, Vec<&Completion>) =
            requests.partition(|completion| matches!(completion.outcome, CallOutcome::Answer(_)));
        // Operators require that 90 % are served. Without faults, all are.
        if served.len() >= 9 * failed.len() && !served.is_empty() {
            return None;
        }
        let outcomes: Vec<String> =
            failed.iter().take(3).map(|c| format!("{:?} at VM {}", c.outcome, c.vm)).collect();
        let detail =
            format!("{} of {}; {}", served.len(), served.len() + failed.len(), outcomes.join(", "));
        Some(Violation { detail, promise: "all is served again" })
    }
}

/// Whether a read ended at its deadline, and each sound response to it had been written only shortly
/// before. Which of the two was first isn't known then.
fn met_deadline(completion: &Completion, runs: &[Run]) -> bool {
    let deadline = completion.sent + DEADLINE;
    let sound = runs.iter().filter(|run| run.style.is_sound());
    let mut ends = sound.filter_map(|run| run.ended);
    completion.at >= deadline && ends.all(|ended| ended + DEADLINE_MARGIN >= deadline)
}

/// Describes a run and when its response had been written, so that a slow target can be told from a
/// cut.
fn describe_run(run: &Run, completion: &Completion) -> String {
    let since_sent = |at: Instant| at.saturating_duration_since(completion.sent).as_millis();
    let (begun, cut) = (since_sent(run.at), since_sent(completion.at));
    let ended = run.ended.map(since_sent);
    format!("target {}: {:?}, {begun} to {ended:?} ms, cut at {cut} ms", run.target, run.style)
}

fn is_repeatable(kind: Kind) -> bool {
    matches!(kind, Kind::Moved | Kind::Read)
}
