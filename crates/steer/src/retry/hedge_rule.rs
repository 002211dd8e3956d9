//! Rules for hedged requests, which send a slow request to a second target.

use crate::{RepeatRule, SlotRequest, idle_reserve};
use std::time::Duration;

/// Decides whether a request may be hedged, and after which delay.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRule {
    /// 95th percentile of the response time of the class.
    pub p95: Option<Duration>,
}

impl HedgeRule {
    /// Minimum delay before a hedge.
    pub const MIN_DELAY: Duration = Duration::from_millis(5);
    /// Maximum p95 of a class that is hedged.
    pub const MAX_P95: Duration = Duration::from_millis(500);
    /// Multiplier of the p95 that gives the delay.
    const FACTOR: f64 = 1.5;

    /// Returns the delay before a request is hedged, or `None` if it must not be.
    ///
    /// Only idempotent requests without a body are hedged, in classes with short response times.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{HedgeRule, RepeatRule, SlotRequest, Urgency};
    /// let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    /// let mut request = SlotRequest::new("read", "a", deadline).urgency(Urgency::Interactive);
    /// let rule = HedgeRule { p95: Some(Duration::from_millis(40)) };
    /// assert_eq!(rule.delay(&request), None);
    /// request = request.repeat(RepeatRule::Idempotent).bodyless(true);
    /// assert_eq!(rule.delay(&request), Some(Duration::from_millis(60)));
    /// ```
    pub fn delay(&self, request: &SlotRequest) -> Option<Duration> {
        if request.repeat != RepeatRule::Idempotent || !request.bodyless {
            return None;
        }
        let p95 = self.p95.filter(|p95| *p95 <= Self::MAX_P95)?;
        Some(p95.mul_f64(Self::FACTOR).max(Self::MIN_DELAY))
    }

    /// Returns whether a pool has room for a hedge: free slots beyond its reserve and an empty
    /// queue.
    ///
    /// ```
    /// use steer::{HedgeRule, PoolRoom};
    /// assert!(HedgeRule::has_room(PoolRoom { free: 4, queued: 0, slots: 12 }));
    /// assert!(!HedgeRule::has_room(PoolRoom { free: 2, queued: 0, slots: 12 }));
    /// assert!(!HedgeRule::has_room(PoolRoom { free: 4, queued: 1, slots: 12 }));
    /// ```
    pub fn has_room(room: crate::PoolRoom) -> bool {
        room.queued == 0 && room.free > idle_reserve(room.slots)
    }
}
