//! Slots that are reserved for interactive requests.

use std::time::Duration;
use tokio::time::Instant;

/// Tracks how many slots interactive requests use, and sizes a reserve so that they rarely wait:
/// the mean plus two standard deviations of a Poisson distribution.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut reserve, start) = (steer::InteractiveReserve::default(), Instant::now());
/// assert_eq!(reserve.slots(36), 4);
/// reserve.record(start, 9);
/// reserve.record(start + Duration::from_secs(60), 9);
/// assert_eq!(reserve.slots(36), 15);
/// assert_eq!(reserve.slots(12), 6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InteractiveReserve {
    /// Time and number of slots of the last record.
    last: Option<(Instant, u32)>,
    mean: f64,
}

impl InteractiveReserve {
    /// At least one slot in this many is reserved.
    const MIN_DIVISOR: u32 = 10;
    /// Time constant of the moving average.
    const TIME_CONSTANT: Duration = Duration::from_secs(2);
    /// At most one slot in this many is reserved.
    const MAX_DIVISOR: u32 = 2;
    /// Number of standard deviations above the mean.
    const DEVIATIONS: f64 = 2.0;

    /// Records the number of slots that interactive requests use from now on.
    pub fn record(&mut self, now: Instant, busy: u32) {
        if let Some((since, previous)) = self.last {
            let elapsed = now.saturating_duration_since(since).as_secs_f64();
            let keep = (-elapsed / Self::TIME_CONSTANT.as_secs_f64()).exp();
            self.mean = self.mean * keep + f64::from(previous) * (1.0 - keep);
        }
        self.last = Some((now, busy));
    }

    /// Number of slots to reserve out of `all`, including those that interactive requests use.
    pub fn slots(&self, all: u32) -> u32 {
        if all < 2 {
            return 0;
        }
        let wanted = (self.mean + Self::DEVIATIONS * self.mean.sqrt()).ceil() as u32;
        wanted.max(all.div_ceil(Self::MIN_DIVISOR)).min(all / Self::MAX_DIVISOR)
    }
}
