//! Rate limit for log lines about requests.

use std::time::Duration;
use tokio::time::Instant;

/// Limits the number of log lines per second, and counts the dropped ones.
///
/// ```
/// use steer::LogBudget;
/// use tokio::time::Instant;
/// let (mut budget, now) = (LogBudget::new(1), Instant::now());
/// assert_eq!(budget.try_acquire(now), Some(0));
/// assert_eq!(budget.try_acquire(now), None);
/// assert_eq!(budget.try_acquire(now + LogBudget::WINDOW), Some(1));
/// ```
#[derive(Clone, Debug)]
pub struct LogBudget {
    dropped: u64,
    limit: u32,
    remaining: u32,
    started: Option<Instant>,
}

impl LogBudget {
    /// Length of the window in which lines are counted.
    pub const WINDOW: Duration = Duration::from_secs(1);

    /// Creates a budget with a limit on the lines per window.
    pub fn new(limit: u32) -> Self {
        Self { dropped: 0, limit, remaining: 0, started: None }
    }

    /// Counts a line against the budget. Returns how many lines were dropped since the last one
    /// within the budget, or `None` if this one must be dropped.
    pub fn try_acquire(&mut self, now: Instant) -> Option<u64> {
        if self.started.is_none_or(|started| now.duration_since(started) >= Self::WINDOW) {
            self.started = Some(now);
            self.remaining = self.limit;
        }
        let Some(remaining) = self.remaining.checked_sub(1) else {
            self.dropped += 1;
            return None;
        };
        self.remaining = remaining;
        Some(std::mem::take(&mut self.dropped))
    }
}
