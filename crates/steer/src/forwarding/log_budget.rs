//! Bound on log lines about requests.

use std::time::Duration;
use tokio::time::Instant;

/// Lets so many lines a second through and counts those that it drops.
///
/// ```
/// use steer::LogBudget;
/// use tokio::time::Instant;
/// let (mut budget, now) = (LogBudget::new(1), Instant::now());
/// assert_eq!(budget.take(now), Some(0));
/// assert_eq!(budget.take(now), None);
/// assert_eq!(budget.take(now + LogBudget::SPAN), Some(1));
/// ```
#[derive(Clone, Debug)]
pub struct LogBudget {
    begun: Option<Instant>,
    dropped: u64,
    left: u32,
    most: u32,
}

impl LogBudget {
    /// Time for which the lines are counted.
    pub const SPAN: Duration = Duration::from_secs(1);

    /// Makes a budget of so many lines a second.
    pub fn new(most: u32) -> Self {
        Self { begun: None, dropped: 0, left: 0, most }
    }

    /// Takes a line, and gives the number of lines dropped since the last one; `None` where the
    /// line is dropped.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if self.begun.is_none_or(|begun| now.duration_since(begun) >= Self::SPAN) {
            self.begun = Some(now);
            self.left = self.most;
        }
        let Some(left) = self.left.checked_sub(1) else {
            self.dropped += 1;
            return None;
        };
        self.left = left;
        Some(std::mem::take(&mut self.dropped))
    }
}
