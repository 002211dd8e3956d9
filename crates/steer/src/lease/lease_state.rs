//! A lease as its holder sees it, as a typestate.

use super::LeaseGrant;
use std::time::Duration;
use tokio::time::Instant;

/// The lease lends its amount.
#[derive(Debug)]
pub struct Held;

/// The lease is over; its amount belongs to the grantor again.
#[derive(Debug)]
pub struct Lapsed;

/// A lease. Only a held one lends, and each use checks it against the monotonic clock again:
///
/// ```compile_fail
/// fn use_late(lease: &mut steer::Lease<steer::Lapsed>, now: tokio::time::Instant) -> u64 {
///     lease.take(1, now)
/// }
/// ```
#[derive(Debug)]
pub struct Lease<S> {
    amount: u64,
    id: u64,
    until: Instant,
    _state: S,
}

impl<S> Lease<S> {
    /// Number of the lease at its grantor.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// When the lease ends for its holder.
    pub fn until(&self) -> Instant {
        self.until
    }
}

impl Lease<Held> {
    /// How much earlier a lease ends for its holder than for its grantor, for clocks that run
    /// at different speeds.
    pub const MARGIN: Duration = Duration::from_millis(50);

    /// Holds what was granted. `asked` is when the request for it left, so that the lease ends
    /// for its holder before it ends for its grantor, however late the grant arrives.
    ///
    /// ```
    /// use steer::{Lease, LeaseGrant};
    /// use tokio::time::Instant;
    /// let asked = Instant::now();
    /// let lease = Lease::hold(LeaseGrant { amount: 3, id: 1, term_ms: 2000 }, asked);
    /// assert_eq!(lease.amount(asked), 3);
    /// assert_eq!(lease.amount(lease.until()), 0);
    /// ```
    pub fn hold(grant: LeaseGrant, asked: Instant) -> Self {
        let term = Duration::from_millis(grant.term_ms).saturating_sub(Self::MARGIN);
        Self { amount: grant.amount, id: grant.id, until: asked + term, _state: Held }
    }

    /// What the lease lends now.
    pub fn amount(&self, now: Instant) -> u64 {
        if now < self.until { self.amount } else { 0 }
    }

    /// Takes a part out of the lease and tells how much; nothing after its end.
    pub fn take(&mut self, amount: u64, now: Instant) -> u64 {
        let taken = amount.min(self.amount(now));
        self.amount -= taken;
        taken
    }

    /// Puts back a part that was taken and not used.
    pub fn put_back(&mut self, amount: u64) {
        self.amount += amount;
    }

    /// Ends the lease where its time is over.
    ///
    /// # Errors
    ///
    /// Gives the lapsed lease, which lends nothing.
    pub fn check(self, now: Instant) -> Result<Self, Lease<Lapsed>> {
        if now < self.until {
            return Ok(self);
        }
        Err(Lease { amount: 0, id: self.id, until: self.until, _state: Lapsed })
    }
}
