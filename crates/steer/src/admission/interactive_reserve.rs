//! Slots that are kept free for interactive work.

use std::time::Duration;
use tokio::time::Instant;

/// Follows how many slots interactive work uses, and keeps so many free of other work that it
/// rarely has to wait: the mean and two standard deviations of a Poisson process.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut reserve, start) = (steer::InteractiveReserve::default(), Instant::now());
/// assert_eq!(reserve.slots(36), 4);
/// reserve.note(start, 9);
/// reserve.note(start + Duration::from_secs(60), 9);
/// assert_eq!(reserve.slots(36), 15);
/// assert_eq!(reserve.slots(12), 6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InteractiveReserve {
    last: Option<(Instant, u32)>,
    mean: f64,
}

impl InteractiveReserve {
    /// Part of the slots that is kept free at least.
    const LEAST_PART: u32 = 10;
    /// Time over which the use is averaged.
    const MEMORY: Duration = Duration::from_secs(2);
    /// Part of the slots that is kept free at most.
    const MOST_PART: u32 = 2;
    /// Standard deviations above the mean.
    const SPREAD: f64 = 2.0;

    /// Notes how many slots interactive work uses from now on.
    pub fn note(&mut self, now: Instant, busy: u32) {
        if let Some((since, before)) = self.last {
            let held = now.saturating_duration_since(since).as_secs_f64();
            let keep = (-held / Self::MEMORY.as_secs_f64()).exp();
            self.mean = self.mean * keep + f64::from(before) * (1.0 - keep);
        }
        self.last = Some((now, busy));
    }

    /// Slots to keep free of other work, those that interactive work uses among them.
    pub fn slots(&self, all: u32) -> u32 {
        if all < 2 {
            return 0;
        }
        let wanted = (self.mean + Self::SPREAD * self.mean.sqrt()).ceil() as u32;
        wanted.max(all.div_ceil(Self::LEAST_PART)).min(all / Self::MOST_PART)
    }
}
