//! Leader election: the votes that make this VM the coordinator of its region.

use crate::{LeaseGrantor, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// The votes that this VM holds, and since when they have been an uninterrupted majority.
///
/// ```
/// use steer::{Candidacy, VmName};
/// use tokio::time::{Duration, Instant};
/// let now = Instant::now();
/// let voters = ["a", "b", "c"].map(VmName::from).into();
/// let mut candidacy = Candidacy::new();
/// candidacy.record_vote("a".into(), now + Duration::from_secs(2), &voters, now);
/// assert!(!candidacy.is_elected(&voters, now));
/// candidacy.record_vote("b".into(), now + Duration::from_secs(2), &voters, now);
/// assert!(candidacy.is_elected(&voters, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Candidacy {
    elected_since: Option<Instant>,
    votes: BTreeMap<VmName, Instant>,
}

impl Candidacy {
    /// Creates a candidacy without votes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a vote and its expiry time.
    pub fn record_vote(
        &mut self,
        voter: VmName,
        until: Instant,
        voters: &BTreeSet<VmName>,
        now: Instant,
    ) {
        // Clears `elected_since` if the majority has expired since the last vote.
        self.is_elected(voters, now);
        self.votes.insert(voter, until);
        if self.has_majority(voters, now) && self.elected_since.is_none() {
            self.elected_since = Some(now);
        }
    }

    /// Returns whether this VM is the coordinator now.
    pub fn is_elected(&mut self, voters: &BTreeSet<VmName>, now: Instant) -> bool {
        if !self.has_majority(voters, now) {
            self.elected_since = None;
        }
        self.elected_since.is_some()
    }

    /// Returns when this VM may start to grant leases: once those of an earlier coordinator have
    /// expired and their usage has left the rate limit's window.
    pub fn grants_from(&self, usage_window: Duration) -> Option<Instant> {
        self.elected_since.map(|start| start + LeaseGrantor::LEASE_DURATION + usage_window)
    }

    fn has_majority(&self, voters: &BTreeSet<VmName>, now: Instant) -> bool {
        let valid = |vm: &&VmName| self.votes.get(*vm).is_some_and(|until| now < *until);
        voters.iter().filter(valid).count() * 2 > voters.len()
    }
}
