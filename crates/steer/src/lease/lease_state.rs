//! The holder's side of a lease, as a typestate.

use super::LeaseGrant;
use std::time::Duration;
use tokio::time::Instant;

/// The lease may be used.
#[derive(Debug)]
pub struct Held;

/// The lease has expired; its amount is available to the grantor again.
#[derive(Debug)]
pub struct Lapsed;

/// A lease. Only a held lease may be used, and each use checks its expiry against the monotonic
/// clock:
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
    /// Returns the identifier assigned by the grantor.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns when the lease expires for its holder.
    pub fn until(&self) -> Instant {
        self.until
    }
}

impl Lease<Held> {
    /// How much earlier a lease expires for its holder than for its grantor, to allow for clock
    /// drift.
    pub const MARGIN: Duration = Duration::from_millis(50);

    /// Creates a lease from a grant. Its duration is counted from `asked`, when the request was
    /// sent, so that the lease expires for its holder before it expires for its grantor, however late
    /// the grant arrives.
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
        let duration = Duration::from_millis(grant.term_ms).saturating_sub(Self::MARGIN);
        Self { amount: grant.amount, id: grant.id, until: asked + duration, _state: Held }
    }

    /// Returns the remaining amount, or 0 after expiry.
    pub fn amount(&self, now: Instant) -> u64 {
        if now < self.until { self.amount } else { 0 }
    }

    /// Takes up to `amount` from the lease and returns how much was taken: 0 after expiry.
    pub fn take(&mut self, amount: u64, now: Instant) -> u64 {
        let taken = amount.min(self.amount(now));
        self.amount -= taken;
        taken
    }

    /// Returns an amount that was taken but not used.
    pub fn put_back(&mut self, amount: u64) {
        self.amount += amount;
    }

    /// Checks whether the lease has expired.
    ///
    /// # Errors
    ///
    /// Returns the expired lease, which has no remaining amount.
    pub fn check(self, now: Instant) -> Result<Self, Lease<Lapsed>> {
        if now < self.until {
            return Ok(self);
        }
        Err(Lease { amount: 0, id: self.id, until: self.until, _state: Lapsed })
    }
}
