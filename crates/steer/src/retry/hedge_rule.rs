//! When a slow request is sent to a second target.

use crate::{RepeatRule, Ticket, spare_reserve};
use std::time::Duration;

/// Tells after which delay a request may be sent a second time.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRule {
    /// Time that 95 in 100 answers of the class take at most.
    pub p95: Option<Duration>,
}

impl HedgeRule {
    /// Least delay before a hedge.
    pub const LEAST: Duration = Duration::from_millis(5);
    /// Longest p95 of a class that is hedged.
    pub const SHORT: Duration = Duration::from_millis(500);
    /// Factor on the p95.
    const FACTOR: f64 = 1.5;

    /// The delay for a request; `None` where it must not be hedged.
    ///
    /// Only idempotent requests without a body are, in classes whose answers are short.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{HedgeRule, RepeatRule, Ticket, Urgency};
    /// let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    /// let mut ticket = Ticket::new("read", "a", deadline).urgency(Urgency::Interactive);
    /// let rule = HedgeRule { p95: Some(Duration::from_millis(40)) };
    /// assert_eq!(rule.delay(&ticket), None);
    /// ticket = ticket.repeat(RepeatRule::Idempotent).bodyless(true);
    /// assert_eq!(rule.delay(&ticket), Some(Duration::from_millis(60)));
    /// ```
    pub fn delay(&self, ticket: &Ticket) -> Option<Duration> {
        if ticket.repeat != RepeatRule::Idempotent || !ticket.bodyless {
            return None;
        }
        let p95 = self.p95.filter(|p95| *p95 <= Self::SHORT)?;
        Some(p95.mul_f64(Self::FACTOR).max(Self::LEAST))
    }

    /// Whether a pool has room for a hedge: slots beyond its reserve, and nobody waits.
    ///
    /// ```
    /// use steer::{HedgeRule, PoolRoom};
    /// assert!(HedgeRule::has_room(PoolRoom { free: 4, queued: 0, slots: 12 }));
    /// assert!(!HedgeRule::has_room(PoolRoom { free: 2, queued: 0, slots: 12 }));
    /// assert!(!HedgeRule::has_room(PoolRoom { free: 4, queued: 1, slots: 12 }));
    /// ```
    pub fn has_room(room: crate::PoolRoom) -> bool {
        room.queued == 0 && room.free > spare_reserve(room.slots)
    }
}
