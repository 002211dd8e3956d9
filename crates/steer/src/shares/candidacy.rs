//! The votes that make this VM its region's coordinator.

use crate::{LeaseBook, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// The votes that this VM holds, and since when they have been a majority without a gap.
///
/// ```
/// use steer::{Candidacy, VmName};
/// use tokio::time::{Duration, Instant};
/// let now = Instant::now();
/// let roster = ["a", "b", "c"].map(VmName::from).into();
/// let mut candidacy = Candidacy::new();
/// candidacy.note_vote("a".into(), now + Duration::from_secs(2), &roster, now);
/// assert!(!candidacy.is_elected(&roster, now));
/// candidacy.note_vote("b".into(), now + Duration::from_secs(2), &roster, now);
/// assert!(candidacy.is_elected(&roster, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Candidacy {
    since: Option<Instant>,
    votes: BTreeMap<VmName, Instant>,
}

impl Candidacy {
    /// Makes a candidate without votes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a vote and when it lapses.
    pub fn note_vote(
        &mut self,
        voter: VmName,
        until: Instant,
        roster: &BTreeSet<VmName>,
        now: Instant,
    ) {
        // A gap since the last vote begins a new term of office.
        self.is_elected(roster, now);
        self.votes.insert(voter, until);
        if self.has_majority(roster, now) && self.since.is_none() {
            self.since = Some(now);
        }
    }

    /// Tells whether this VM is the coordinator now.
    pub fn is_elected(&mut self, roster: &BTreeSet<VmName>, now: Instant) -> bool {
        if !self.has_majority(roster, now) {
            self.since = None;
        }
        self.since.is_some()
    }

    /// When this VM may begin to grant: after the leases of an earlier coordinator have lapsed
    /// and their use has left the window.
    pub fn opens(&self, linger: Duration) -> Option<Instant> {
        self.since.map(|since| since + LeaseBook::TERM + linger)
    }

    fn has_majority(&self, roster: &BTreeSet<VmName>, now: Instant) -> bool {
        let valid = |vm: &&VmName| self.votes.get(*vm).is_some_and(|until| now < *until);
        roster.iter().filter(valid).count() * 2 > roster.len()
    }
}
