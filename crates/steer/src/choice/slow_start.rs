//! Slow start: the usable slots of a cold target grow step by step.

use std::time::Duration;
use tokio::time::Instant;

/// The number of usable slots of a target, which grows with the responses that it sends.
///
/// ```
/// use tokio::time::Instant;
/// let (mut slow_start, now) = (steer::SlowStart::default(), Instant::now());
/// assert_eq!(slow_start.usable_slots(now, 6), 2);
/// for _ in 0..14 {
///     slow_start.record_response(now, 6);
/// }
/// assert_eq!(slow_start.usable_slots(now, 6), 6);
/// assert_eq!(slow_start.usable_slots(now + steer::SlowStart::COLD_AFTER, 6), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    /// Number of usable slots beyond the initial ones.
    added: u32,
    /// Number of responses since a slot was last added.
    responses: u32,
    last_response: Option<Instant>,
}

impl SlowStart {
    /// Time without responses after which a target is cold again.
    pub const COLD_AFTER: Duration = Duration::from_secs(60);
    /// A cold target starts with one slot in this many.
    const COLD_DIVISOR: u32 = 4;

    /// Number of slots that a cold target starts with.
    fn initial(slots: u32) -> u32 {
        slots.div_ceil(Self::COLD_DIVISOR).min(slots)
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.last_response
            .is_none_or(|last| now.saturating_duration_since(last) >= Self::COLD_AFTER)
    }

    /// Number of slots that are usable now.
    pub fn usable_slots(&self, now: Instant, slots: u32) -> u32 {
        let added = if self.is_cold(now) { 0 } else { self.added };
        (Self::initial(slots) + added).min(slots)
    }

    /// Records a response. After as many responses as there are usable slots, one more becomes
    /// usable.
    pub fn record_response(&mut self, now: Instant, slots: u32) {
        if self.is_cold(now) {
            *self = Self::default();
        }
        self.last_response = Some(now);
        let limit = self.usable_slots(now, slots);
        self.responses += 1;
        if self.responses >= limit && limit < slots {
            self.added += 1;
            self.responses = 0;
        }
    }

    /// Makes the target cold, for example after a drain.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Reduces the usable slots to fewer than were in use when the target shed a request.
    pub fn shrink(&mut self, now: Instant, busy: u32, slots: u32) {
        let usable = self.usable_slots(now, slots).min(busy.saturating_sub(1));
        self.added = usable.saturating_sub(Self::initial(slots));
        self.responses = 0;
        self.last_response = Some(now);
    }
}
