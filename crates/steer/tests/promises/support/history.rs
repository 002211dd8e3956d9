//! What targets ran and what callers were told, and the check of one against the other.

use std::collections::{BTreeMap, BTreeSet};
use steer::Outcome;
use tokio::time::Instant;

/// A target ran a request.
#[derive(Clone, Debug)]
pub(crate) struct Ran {
    pub(crate) at: Instant,
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) target: String,
}

/// A caller was told the end of one sending.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) body: Option<String>,
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) outcome: Outcome,
    pub(crate) sent: Instant,
}

/// A promise that was broken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Breach {
    CrossedAnswer,
    DoubleRun,
    FalseNotRun,
    FalseRan,
    ThirdTarget,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) ran: Vec<Ran>,
    pub(crate) told: Vec<Told>,
}

impl History {
    /// The promises that the history breaks, each once a key.
    pub(crate) fn breaches(&self) -> Vec<Breach> {
        let mut runs: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
        for ran in &self.ran {
            runs.entry(&ran.key).or_default().push(ran);
        }
        let mut breaches = Vec::new();
        for (key, ran) in &runs {
            let targets: BTreeSet<_> = ran.iter().map(|r| &r.target).collect();
            if key.starts_with("poison") && targets.len() > 2 {
                breaches.push(Breach::ThirdTarget);
            }
            if key.starts_with("pay") && ran.len() > 1 {
                breaches.push(Breach::DoubleRun);
            }
        }
        for told in &self.told {
            let ran = runs.get(told.key.as_str()).map_or(&[][..], Vec::as_slice);
            // A run counts against "not run" where it was this sending's or came before it; a
            // second sending under way at the same time is told its own end.
            if told.outcome == Outcome::NotRun
                && ran.iter().any(|r| r.id == told.id || r.at < told.sent)
            {
                breaches.push(Breach::FalseNotRun);
            }
            if told.outcome == Outcome::Ran && ran.is_empty() {
                breaches.push(Breach::FalseRan);
            }
            let whole = format!("done {}", told.key);
            if told.body.as_ref().is_some_and(|body| *body != whole) {
                breaches.push(Breach::CrossedAnswer);
            }
        }
        breaches
    }
}
