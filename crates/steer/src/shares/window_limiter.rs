//! A sliding-window rate limiter.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Sliding-window log of the usage in the last second.
///
/// A token bucket admits up to twice its rate in a window that starts with a full bucket. This
/// limiter logs each use instead and never exceeds the limit in any one-second window.
///
/// ```
/// use std::time::Duration;
/// use steer::WindowLimiter;
/// use tokio::time::Instant;
/// let (mut limiter, start) = (WindowLimiter::new(), Instant::now());
/// assert_eq!(limiter.try_acquire(2, 2, start), Ok(()));
/// assert!(limiter.try_acquire(1, 2, start + Duration::from_millis(999)).is_err());
/// assert_eq!(limiter.try_acquire(1, 2, start + Duration::from_millis(1001)), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WindowLimiter {
    total: u64,
    uses: VecDeque<(Instant, Instant, u64)>,
}

impl WindowLimiter {
    /// Length of the window.
    pub const WINDOW: Duration = Duration::from_secs(1);
    /// Uses within this interval are merged into one entry, which expires with the last of them.
    const MERGE_INTERVAL: Duration = Duration::from_millis(2);

    /// Creates a limiter without any usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Consumes an amount if the window's usage stays within the limit.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before the next attempt if the limit is reached.
    pub fn try_acquire(&mut self, amount: u64, limit: u64, now: Instant) -> Result<(), Duration> {
        self.evict_expired(now);
        if self.total + amount <= limit {
            self.record(amount, now);
            return Ok(());
        }
        let mut excess = (self.total + amount).saturating_sub(limit);
        for (_, last, used) in &self.uses {
            excess = excess.saturating_sub(*used);
            if excess == 0 {
                return Err((*last + Self::WINDOW + Self::MERGE_INTERVAL).duration_since(now));
            }
        }
        Err(Self::WINDOW)
    }

    /// Returns the usage in the last second.
    pub fn usage(&mut self, now: Instant) -> u64 {
        self.evict_expired(now);
        self.total
    }

    fn record(&mut self, amount: u64, now: Instant) {
        self.total += amount;
        if let Some((first, last, used)) = self.uses.back_mut()
            && now.duration_since(*first) < Self::MERGE_INTERVAL
        {
            *last = now;
            *used += amount;
            return;
        }
        self.uses.push_back((now, now, amount));
    }

    fn evict_expired(&mut self, now: Instant) {
        while let Some((_, last, used)) = self.uses.front()
            && now.saturating_duration_since(*last) > Self::WINDOW
        {
            self.total -= used;
            self.uses.pop_front();
        }
    }
}
