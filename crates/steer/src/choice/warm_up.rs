//! Cold targets get their slots one after another.

use std::time::Duration;
use tokio::time::Instant;

/// The slots that a target may use, which grow with the answers that it gives.
///
/// ```
/// use tokio::time::Instant;
/// let (mut warm, now) = (steer::WarmUp::default(), Instant::now());
/// assert_eq!(warm.limit(now, 6), 2);
/// for _ in 0..14 {
///     warm.note_answer(now, 6);
/// }
/// assert_eq!(warm.limit(now, 6), 6);
/// assert_eq!(warm.limit(now + steer::WarmUp::COLD_AFTER, 6), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WarmUp {
    answers: u32,
    grown: u32,
    last: Option<Instant>,
}

impl WarmUp {
    /// Idle time after which a target is cold again.
    pub const COLD_AFTER: Duration = Duration::from_secs(60);
    /// Part of its slots that a cold target starts with.
    const COLD_PART: u32 = 4;

    /// Slots that a cold target starts with.
    fn first(slots: u32) -> u32 {
        slots.div_ceil(Self::COLD_PART).min(slots)
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.last.is_none_or(|last| now.saturating_duration_since(last) >= Self::COLD_AFTER)
    }

    /// Slots that may be used now.
    pub fn limit(&self, now: Instant, slots: u32) -> u32 {
        let grown = if self.is_cold(now) { 0 } else { self.grown };
        (Self::first(slots) + grown).min(slots)
    }

    /// Notes an answer: as many as there are usable slots add one more.
    pub fn note_answer(&mut self, now: Instant, slots: u32) {
        if self.is_cold(now) {
            *self = Self::default();
        }
        self.last = Some(now);
        let limit = self.limit(now, slots);
        self.answers += 1;
        if self.answers >= limit && limit < slots {
            self.grown += 1;
            self.answers = 0;
        }
    }

    /// Starts anew, as after a drain.
    pub fn chill(&mut self) {
        *self = Self::default();
    }

    /// Shrinks to fewer slots than were in use when the target shed a request.
    pub fn shrink(&mut self, now: Instant, busy: u32, slots: u32) {
        let usable = self.limit(now, slots).min(busy.saturating_sub(1));
        self.grown = usable.saturating_sub(Self::first(slots));
        self.answers = 0;
        self.last = Some(now);
    }
}
