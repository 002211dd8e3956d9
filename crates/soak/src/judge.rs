//! Checks recorded events against the promises to callers and operators.

use crate::{End, Ending, Kind, Ledger, Plan, Run, Subject, world::ZONES};
use derive_more::Display;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time after which a draining target gets no new requests; the operators' bound.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time after which an evacuated zone gets no new requests; the operators' bound.
const EVACUATE: Duration = Duration::from_secs(5);
/// Time after which a new configuration is in force; the operators' bound.
const CONFIGURE: Duration = Duration::from_millis(2_500);
/// Time after sending by which a request must have ended: the deadline of 3 s, the half second that
/// the rules allow beyond it, and a margin for the time limit of the caller's own connection.
const LATE: Duration = Duration::from_millis(3_600);

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
pub fn judge(ledger: &Ledger, recovered: Instant) -> Vec<Violation> {
    let judge = Judge { ends: ledger.ends(), ledger, plans: ledger.plans(), runs: ledger.runs() };
    let mut found = judge.check_ends();
    for (id, runs) in &judge.runs {
        found.extend(judge.check_runs(id, runs));
    }
    found.extend(judge.check_recovery(recovered));
    for detail in ledger.bad_stops() {
        found.push(Violation { detail, promise: "a planned stop ends in time" });
    }
    found
}

struct Judge<'a> {
    ends: BTreeMap<String, End>,
    ledger: &'a Ledger,
    plans: Vec<(Instant, Plan)>,
    runs: BTreeMap<String, Vec<Run>>,
}

impl Judge<'_> {
    fn check_ends(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (id, end) in &self.ends {
            let runs = self.runs.get(id).map_or(&[][..], Vec::as_slice);
            let broken = match &end.ending {
                Ending::Answer(body) if body != "whole" => {
                    Some(("an answer is whole and the request's own", body.clone()))
                }
                Ending::Answer(_) if runs.is_empty() => {
                    Some(("an answer comes from a target", "no target ran it".to_owned()))
                }
                Ending::Status(status @ (408 | 421 | 429 | 503)) if !is_repeatable(end.kind) => {
                    let ran = !runs.is_empty();
                    ran.then(|| ("a refusal is true", format!("{status}, yet it ran")))
                }
                Ending::Status(404) => {
                    Some(("a known route is never denied", format!("of VM {}", end.vm)))
                }
                Ending::Broken if self.was_cut(end, runs) => {
                    Some(("a planned stop cuts nothing", format!("by VM {}", end.vm)))
                }
                Ending::None if self.vm_ran(end) => {
                    Some(("each request has an end", format!("none from VM {}", end.vm)))
                }
                _ => None,
            };
            if let Some((promise, detail)) = broken {
                let kind = end.kind;
                found.push(Violation { detail: format!("{kind:?} {id}: {detail}"), promise });
            }
        }
        found
    }

    fn vm_ran(&self, end: &End) -> bool {
        self.ledger.in_touch(end.vm, end.sent, end.at) && end.at - end.sent > LATE
    }

    /// Whether a VM broke off a request although neither it nor the target was disrupted.
    fn was_cut(&self, end: &End, runs: &[Run]) -> bool {
        let calm =
            |run: &Run| self.ledger.is_calm(Subject::Target(run.target), end.sent - DRAIN, end.at);
        !runs.is_empty()
            && runs.iter().all(calm)
            && self.ledger.is_calm(Subject::Vm(end.vm), end.sent, end.at)
    }

    fn check_runs(&self, id: &str, runs: &[Run]) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut note = |promise: &'static str, detail: String| {
            found.push(Violation { detail: format!("{id}: {detail}"), promise });
        };
        let Some(end) = self.ends.get(id) else {
            // The request was still in flight when the soak ended.
            return found;
        };
        if !is_repeatable(end.kind) && runs.len() > 1 {
            note("what may run once runs once", format!("{:?} ran {} times", end.kind, runs.len()));
        }
        for run in runs {
            if run.unnamed {
                note("a target is named in its request", format!("target {}", run.target));
            }
            if let Some(age) = self.since(run, |plan| match plan {
                Plan::Drained(target) if *target == run.target => Some(true),
                Plan::Undrained(target) if *target == run.target => Some(false),
                _ => None,
            }) && age > DRAIN
                && self.ledger.in_touch(end.vm, run.at - DRAIN, run.at)
            {
                note("a leaving target gets no new work", format!("{} ms later", age.as_millis()));
            }
            if let Some(age) = self.since(run, |plan| match plan {
                Plan::Evacuated(zone) if run.target % ZONES.len() == *zone => Some(true),
                Plan::Returned(zone) if run.target % ZONES.len() == *zone => Some(false),
                _ => None,
            }) && age > EVACUATE
                && self.ledger.in_touch(end.vm, run.at - EVACUATE, run.at)
            {
                note("an evacuated zone gets no work", format!("{} ms later", age.as_millis()));
            }
            if end.kind == Kind::Moved && !self.allowed(end, run) {
                note("a configuration is in force in time", format!("ran at {}", run.service));
            }
        }
        found
    }

    /// Age of the latest planned change that concerns a run, if that change forbids the run.
    fn since(&self, run: &Run, forbids: impl Fn(&Plan) -> Option<bool>) -> Option<Duration> {
        let before = self.plans.iter().rev().filter(|(at, _)| *at <= run.at);
        let mut told = before.filter_map(|(at, plan)| Some((*at, forbids(plan)?)));
        let (at, forbidden) = told.next()?;
        forbidden.then(|| run.at - at)
    }

    /// Whether a configuration that may be in force routes a moved request to the run's service.
    fn allowed(&self, end: &End, run: &Run) -> bool {
        if !self.ledger.in_touch(end.vm, end.sent - CONFIGURE, run.at) {
            return true;
        }
        let services = self.plans.iter().filter_map(|(at, plan)| match plan {
            Plan::Configured(service) => Some((*at, *service)),
            _ => None,
        });
        let services: Vec<(Instant, &str)> = services.collect();
        let ends = services.iter().skip(1).map(|(at, _)| Some(*at)).chain([None]);
        let mut spans = services.iter().zip(ends);
        spans.any(|((from, service), to)| {
            let over = to.is_some_and(|to| to + CONFIGURE < end.sent);
            *service == run.service && *from <= run.at && !over
        })
    }

    fn check_recovery(&self, recovered: Instant) -> Option<Violation> {
        let late = self.ends.values().filter(|end| end.sent >= recovered);
        let (served, rest): (Vec<&End>, Vec<&End>) =
            late.partition(|end| matches!(end.ending, Ending::Answer(_)));
        // Operators expect nine in ten. Without faults, all requests are served.
        if served.len() >= 9 * rest.len() && !served.is_empty() {
            return None;
        }
        let endings: Vec<String> =
            rest.iter().take(3).map(|e| format!("{:?} at VM {}", e.ending, e.vm)).collect();
        let detail =
            format!("{} of {}; {}", served.len(), served.len() + rest.len(), endings.join(", "));
        Some(Violation { detail, promise: "all is served again" })
    }
}

fn is_repeatable(kind: Kind) -> bool {
    matches!(kind, Kind::Moved | Kind::Read)
}
