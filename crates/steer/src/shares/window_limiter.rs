//! A rate limiter that is exact in every window of one second.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Counts what was used in the last second.
///
/// A token bucket lets twice its rate through in the window that begins with a full bucket;
/// this limiter remembers each use and never passes the limit in any window of one second.
///
/// ```
/// use std::time::Duration;
/// use steer::WindowLimiter;
/// use tokio::time::Instant;
/// let (mut limiter, start) = (WindowLimiter::new(), Instant::now());
/// assert_eq!(limiter.take(2, 2, start), Ok(()));
/// assert!(limiter.take(1, 2, start + Duration::from_millis(999)).is_err());
/// assert_eq!(limiter.take(1, 2, start + Duration::from_millis(1001)), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WindowLimiter {
    sum: u64,
    uses: VecDeque<(Instant, Instant, u64)>,
}

impl WindowLimiter {
    /// Length of the window.
    pub const WINDOW: Duration = Duration::from_secs(1);
    /// Uses that lie closer together are remembered as one, at the time of the last.
    const GRAIN: Duration = Duration::from_millis(2);

    /// Makes a limiter that has seen no use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Uses an amount, where the window still has room for it under the limit.
    ///
    /// # Errors
    ///
    /// Gives the time after which there may be room.
    pub fn take(&mut self, amount: u64, limit: u64, now: Instant) -> Result<(), Duration> {
        self.forget(now);
        if self.sum + amount <= limit {
            self.note(amount, now);
            return Ok(());
        }
        let mut excess = (self.sum + amount).saturating_sub(limit);
        for (_, last, used) in &self.uses {
            excess = excess.saturating_sub(*used);
            if excess == 0 {
                return Err((*last + Self::WINDOW + Self::GRAIN).duration_since(now));
            }
        }
        Err(Self::WINDOW)
    }

    /// What was used in the last second.
    pub fn used(&mut self, now: Instant) -> u64 {
        self.forget(now);
        self.sum
    }

    fn note(&mut self, amount: u64, now: Instant) {
        self.sum += amount;
        if let Some((first, last, used)) = self.uses.back_mut()
            && now.duration_since(*first) < Self::GRAIN
        {
            *last = now;
            *used += amount;
            return;
        }
        self.uses.push_back((now, now, amount));
    }

    fn forget(&mut self, now: Instant) {
        while let Some((_, last, used)) = self.uses.front()
            && now.saturating_duration_since(*last) > Self::WINDOW
        {
            self.sum -= used;
            self.uses.pop_front();
        }
    }
}
