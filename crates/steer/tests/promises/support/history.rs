//! Records the runs on targets and the replies to callers, and checks that they agree.

use std::collections::{BTreeMap, BTreeSet};
use steer::Outcome;
use tokio::time::Instant;

/// One run of a request on a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetRun {
    pub(crate) at: Instant,
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) target: String,
}

/// The result that a caller got for one request that it sent.
#[derive(Clone, Debug)]
pub(crate) struct ObservedReply {
    pub(crate) body: Option<String>,
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) outcome: Outcome,
    pub(crate) sent: Instant,
}

/// A guarantee that a history violates.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum GuaranteeViolation {
    /// A caller got the response to another request.
    CrossedAnswer,
    /// An at-most-once key ran twice.
    DoubleRun,
    /// A caller was told "not run" about a request that ran.
    FalseNotRun,
    /// A caller was told "ran" about a key that didn't run.
    FalseRan,
    /// A poison request reached a third target.
    ThirdTarget,
}

/// The runs and replies of one simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestHistory {
    pub(crate) ran: Vec<TargetRun>,
    pub(crate) replies: Vec<ObservedReply>,
}

impl RequestHistory {
    /// Returns the violated guarantees, each at most once per key or reply.
    pub(crate) fn violations(&self) -> Vec<GuaranteeViolation> {
        let mut runs: BTreeMap<&str, Vec<&TargetRun>> = BTreeMap::new();
        for ran in &self.ran {
            runs.entry(&ran.key).or_default().push(ran);
        }
        let mut violations = Vec::new();
        for (key, ran) in &runs {
            let targets: BTreeSet<_> = ran.iter().map(|r| &r.target).collect();
            if key.starts_with("poison") && targets.len() > 2 {
                violations.push(GuaranteeViolation::ThirdTarget);
            }
            if key.starts_with("pay") && ran.len() > 1 {
                violations.push(GuaranteeViolation::DoubleRun);
            }
        }
        for reply in &self.replies {
            let ran = runs.get(reply.key.as_str()).map_or(&[][..], Vec::as_slice);
            // A run contradicts "not run" if it belongs to this request or began before the request
            // was sent. A concurrent request with the same key gets its own outcome.
            if reply.outcome == Outcome::NotRun
                && ran.iter().any(|r| r.id == reply.id || r.at < reply.sent)
            {
                violations.push(GuaranteeViolation::FalseNotRun);
            }
            if reply.outcome == Outcome::Ran && ran.is_empty() {
                violations.push(GuaranteeViolation::FalseRan);
            }
            let expected = format!("done {}", reply.key);
            if reply.body.as_ref().is_some_and(|body| *body != expected) {
                violations.push(GuaranteeViolation::CrossedAnswer);
            }
        }
        violations
    }
}
