//! How long a queue may get, from the delay that was measured.

use std::time::Duration;
use tokio::time::Instant;

/// Bounds a queue by delay: a burst may wait for long, a standing queue only for the target delay.
///
/// A queue stands when even the request that waited least in a window waited longer than the
/// target (the rule of CoDel, applied to admission).
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut bound, start) = (steer::QueueBound::new(Duration::from_millis(100)), Instant::now());
/// assert_eq!(bound.allowed(), Duration::from_secs(1));
/// for ms in [0, 300, 600] {
///     bound.note_delay(start + Duration::from_millis(ms), Duration::from_millis(200));
/// }
/// assert_eq!(bound.allowed(), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug)]
pub struct QueueBound {
    least: Duration,
    since: Option<Instant>,
    standing: bool,
    target: Duration,
}

impl QueueBound {
    /// Factor between the delay of a burst and the target delay.
    const BURST: u32 = 10;
    /// Part of the target delay below which a standing queue counts as gone.
    const CALM: u32 = 4;
    /// Time over which the least delay is measured.
    const WINDOW: Duration = Duration::from_millis(200);

    /// Makes a bound with a target delay.
    pub fn new(target: Duration) -> Self {
        Self { least: Duration::MAX, since: None, standing: false, target }
    }

    /// Notes how long a request waited for its slot.
    pub fn note_delay(&mut self, now: Instant, delay: Duration) {
        self.least = self.least.min(delay);
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) < Self::WINDOW {
            return;
        }
        let limit = if self.standing { self.target / Self::CALM } else { self.target };
        self.standing = self.least > limit;
        self.least = Duration::MAX;
        self.since = Some(now);
    }

    /// Whether the queue stands.
    pub fn is_standing(&self) -> bool {
        self.standing
    }

    /// Longest expected delay at which a request may still join the queue.
    pub fn allowed(&self) -> Duration {
        if self.standing { self.target } else { self.target * Self::BURST }
    }
}
