//! The holder's side of a lease, as a typestate.

use super::LeaseGrant;
use std::time::Duration;
use tokio::time::Instant;

/// The lease may be used.
#[derive(Debug)]
pub struct Held;

/// The lease has expired; its amount is available to the grantor again.
#[derive(Debug)]
pub struct Expired;

/// A lease. Only a held lease may be used, and each use checks its expiry against the monotonic
/// clock:
///
/// ```compile_fail
/// fn use_late(lease: &mut steer::Lease<steer::Expired>, now: tokio::time::Instant) -> u64 {
///     lease.consume(1, now)
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

    /// Creates a lease from a grant. Its duration is counted from `requested_at`, when the request was
    /// sent, so that the lease expires for its holder before it expires for its grantor, however late
    /// the grant arrives.
    ///
    /// ```
    /// use steer::{Lease, LeaseGrant};
    /// use tokio::time::Instant;
    /// let requested_at = Instant::now();
    /// let lease = Lease::from_grant(LeaseGrant { amount: 3, id: 1, term_ms: 2000 }, requested_at);
    /// assert_eq!(lease.amount(requested_at), 3);
    /// assert_eq!(lease.amount(lease.until()), 0);
    /// ```
    pub fn from_grant(grant: LeaseGrant, requested_at: Instant) -> Self {
        let duration = Duration::from_millis(grant.term_ms).saturating_sub(Self::MARGIN);
        Self { amount: grant.amount, id: grant.id, until: requested_at + duration, _state: Held }
    }

    /// Returns the remaining amount, or 0 after expiry.
    pub fn amount(&self, now: Instant) -> u64 {
        if now < self.until { self.amount } else { 0 }
    }

    /// Consumes up to `amount` of the lease and returns how much was consumed: 0 after expiry.
    pub fn consume(&mut self, amount: u64, now: Instant) -> u64 {
        let consumed = amount.min(self.amount(now));
        self.amount -= consumed;
        consumed
    }

    /// Returns to the lease an amount that was consumed but not used.
    pub fn return_amount(&mut self, amount: u64) {
        self.amount += amount;
    }

    /// Checks whether the lease has expired.
    ///
    /// # Errors
    ///
    /// Returns the expired lease, which has no remaining amount.
    pub fn check(self, now: Instant) -> Result<Self, Lease<Expired>> {
        if now < self.until {
            return Ok(self);
        }
        Err(Lease { amount: 0, id: self.id, until: self.until, _state: Expired })
    }
}
