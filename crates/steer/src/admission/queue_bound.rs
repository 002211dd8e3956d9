//! Limits the length of a queue by the measured queueing delay.

use std::time::Duration;
use tokio::time::Instant;

/// Limits a queue by delay: a burst may wait several times the target delay, but requests in a
/// standing queue only the target delay itself.
///
/// A queue is standing if the minimum delay within a window exceeds the target, as in CoDel.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut bound, start) = (steer::QueueBound::new(Duration::from_millis(100)), Instant::now());
/// assert_eq!(bound.allowed(), Duration::from_secs(1));
/// for ms in [0, 300, 600] {
///     bound.record_delay(start + Duration::from_millis(ms), Duration::from_millis(200));
/// }
/// assert_eq!(bound.allowed(), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug)]
pub struct QueueBound {
    min_delay: Duration,
    window_start: Option<Instant>,
    standing: bool,
    target: Duration,
}

impl QueueBound {
    /// Multiple of the target delay that a burst may wait.
    const BURST_FACTOR: u32 = 10;
    /// A standing queue has cleared once the minimum delay is at most the target divided by this.
    const CLEAR_DIVISOR: u32 = 4;
    /// Window of the minimum delay.
    const WINDOW: Duration = Duration::from_millis(200);

    /// Creates a bound with a target delay.
    pub fn new(target: Duration) -> Self {
        Self { min_delay: Duration::MAX, window_start: None, standing: false, target }
    }

    /// Records how long a request waited for its slot.
    pub fn record_delay(&mut self, now: Instant, delay: Duration) {
        self.min_delay = self.min_delay.min(delay);
        let window_start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(window_start) < Self::WINDOW {
            return;
        }
        let limit = if self.standing { self.target / Self::CLEAR_DIVISOR } else { self.target };
        self.standing = self.min_delay > limit;
        self.min_delay = Duration::MAX;
        self.window_start = Some(now);
    }

    /// Whether the queue is standing.
    pub fn is_standing(&self) -> bool {
        self.standing
    }

    /// Maximum expected delay at which a request may still join the queue.
    pub fn allowed(&self) -> Duration {
        if self.standing { self.target } else { self.target * Self::BURST_FACTOR }
    }
}
