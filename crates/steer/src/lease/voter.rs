//! An entry VM's vote in the election of its region's coordinator.

use super::{LeaseGrant, LeaseGrantor, LeaseHolder};
use tokio::time::Instant;

/// Leases this VM's vote to one candidate at a time.
///
/// Any two majorities share a voter, and a voter votes for only one candidate at a time, so a
/// region has at most one coordinator at any time. Votes aren't persisted: a VM that restarts casts
/// no vote until those of its previous incarnation have expired.
///
/// ```
/// use steer::{LeaseGrantor, LeaseHolder, Voter};
/// use tokio::time::Instant;
/// let now = Instant::now();
/// let mut voter = Voter::new(now);
/// let (a, b) = (
///     LeaseHolder { incarnation: 1, vm: "a".into() },
///     LeaseHolder { incarnation: 1, vm: "b".into() },
/// );
/// assert_eq!(voter.vote(a.clone(), now).amount, 1);
/// assert_eq!(voter.vote(b.clone(), now).amount, 0);
/// assert_eq!(voter.vote(a, now).amount, 1);
/// assert_eq!(voter.vote(b, now + LeaseGrantor::LEASE_DURATION * 2).amount, 1);
/// ```
#[derive(Clone, Debug)]
pub struct Voter {
    holder: Option<LeaseHolder>,
    until: Instant,
}

impl Voter {
    /// Creates a voter that casts no vote before `votes_from`.
    pub fn new(votes_from: Instant) -> Self {
        Self { holder: None, until: votes_from }
    }

    /// Returns the candidate that holds the vote.
    pub fn holder(&self, now: Instant) -> Option<&LeaseHolder> {
        self.holder.as_ref().filter(|_| now < self.until)
    }

    /// Votes for a candidate unless another candidate holds the vote; the amount of the grant is
    /// then 0.
    pub fn vote(&mut self, holder: LeaseHolder, now: Instant) -> LeaseGrant {
        let is_renewal = self.holder.as_ref() == Some(&holder);
        if now < self.until && !is_renewal {
            return LeaseGrant::default();
        }
        self.holder = Some(holder);
        self.until = now + LeaseGrantor::LEASE_DURATION;
        LeaseGrant { amount: 1, id: 0, term_ms: LeaseGrantor::LEASE_DURATION.as_millis() as u64 }
    }
}
