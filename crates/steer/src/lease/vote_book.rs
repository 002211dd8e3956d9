//! The one vote of an entry VM for its region's coordinator.

use super::{LeaseBook, LeaseGrant, LeaseHolder};
use tokio::time::Instant;

/// Gives this VM's vote to one candidate at a time, as a lease.
///
/// Two candidates that each hold the votes of a majority would share a voter, which votes for
/// one only; so a region has at most one coordinator at any time. A VM that starts has
/// forgotten its votes and waits until they have lapsed.
///
/// ```
/// use steer::{LeaseBook, LeaseHolder, VoteBook};
/// use tokio::time::Instant;
/// let now = Instant::now();
/// let mut votes = VoteBook::new(now);
/// let (a, b) = (
///     LeaseHolder { incarnation: 1, vm: "a".into() },
///     LeaseHolder { incarnation: 1, vm: "b".into() },
/// );
/// assert_eq!(votes.vote(a.clone(), now).amount, 1);
/// assert_eq!(votes.vote(b.clone(), now).amount, 0);
/// assert_eq!(votes.vote(a, now).amount, 1);
/// assert_eq!(votes.vote(b, now + LeaseBook::TERM * 2).amount, 1);
/// ```
#[derive(Clone, Debug)]
pub struct VoteBook {
    holder: Option<LeaseHolder>,
    until: Instant,
}

impl VoteBook {
    /// Makes a book that votes for nobody before `opens`.
    pub fn new(opens: Instant) -> Self {
        Self { holder: None, until: opens }
    }

    /// The candidate that holds the vote now.
    pub fn holder(&self, now: Instant) -> Option<&LeaseHolder> {
        self.holder.as_ref().filter(|_| now < self.until)
    }

    /// Votes for a candidate unless another one holds the vote.
    pub fn vote(&mut self, holder: LeaseHolder, now: Instant) -> LeaseGrant {
        let renews = self.holder.as_ref() == Some(&holder);
        if now < self.until && !renews {
            return LeaseGrant::default();
        }
        self.holder = Some(holder);
        self.until = now + LeaseBook::TERM;
        LeaseGrant { amount: 1, id: 0, term_ms: LeaseBook::TERM.as_millis() as u64 }
    }
}
