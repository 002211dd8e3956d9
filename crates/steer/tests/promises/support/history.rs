//! Records what targets ran and what callers were told, and checks one against the other.

use std::collections::{BTreeMap, BTreeSet};
use steer::Outcome;
use tokio::time::Instant;

/// One run of a request on a target.
#[derive(Clone, Debug)]
pub(crate) struct Ran {
    pub(crate) at: Instant,
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) target: String,
}

/// The result that a caller got for one request that it sent.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) body: Option<String>,
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) outcome: Outcome,
    pub(crate) sent: Instant,
}

/// A violated guarantee.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Violation {
    CrossedAnswer,
    DoubleRun,
    FalseNotRun,
    FalseRan,
    ThirdTarget,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) ran: Vec<Ran>,
    pub(crate) replies: Vec<Reply>,
}

impl History {
    /// Returns the violated guarantees, each at most once per run key or per reply.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut runs: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
        for ran in &self.ran {
            runs.entry(&ran.key).or_default().push(ran);
        }
        let mut violations = Vec::new();
        for (key, ran) in &runs {
            let targets: BTreeSet<_> = ran.iter().map(|r| &r.target).collect();
            if key.starts_with("poison") && targets.len() > 2 {
                violations.push(Violation::ThirdTarget);
            }
            if key.starts_with("pay") && ran.len() > 1 {
                violations.push(Violation::DoubleRun);
            }
        }
        for reply in &self.replies {
            let ran = runs.get(reply.key.as_str()).map_or(&[][..], Vec::as_slice);
            // A run contradicts "not run" if it belongs to this request or began before the request
            // was sent. A concurrent request with the same key gets its own outcome.
            if reply.outcome == Outcome::NotRun
                && ran.iter().any(|r| r.id == reply.id || r.at < reply.sent)
            {
                violations.push(Violation::FalseNotRun);
            }
            if reply.outcome == Outcome::Ran && ran.is_empty() {
                violations.push(Violation::FalseRan);
            }
            let expected = format!("done {}", reply.key);
            if reply.body.as_ref().is_some_and(|body| *body != expected) {
                violations.push(Violation::CrossedAnswer);
            }
        }
        violations
    }
}
