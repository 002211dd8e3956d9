//! Observations that control a traffic shift.

use super::HoldReason;
use std::time::Duration;
use tokio::time::Instant;

/// Counts and times of the events of the last one to two seconds, in two rotating buckets.
///
/// ```
/// use steer::OutcomeWindow;
/// use tokio::time::{Duration, Instant};
/// let (mut window, now) = (OutcomeWindow::new(), Instant::now());
/// window.record(true, Duration::from_millis(20), now);
/// window.record(false, Duration::from_millis(40), now);
/// assert_eq!(window.count(now), 2);
/// assert_eq!(window.failed_fraction(now), 0.5);
/// assert_eq!(window.mean_time(now), Some(Duration::from_millis(30)));
/// assert_eq!(window.count(now + Duration::from_secs(2)), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    buckets: [Bucket; 2],
    last_rotation: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    total: u32,
    failed: u32,
    time: Duration,
}

impl OutcomeWindow {
    /// Length of one bucket.
    const PERIOD: Duration = Duration::from_secs(1);

    /// Creates an empty window.
    pub fn new() -> Self {
        Self::default()
    }

    fn rotate(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(*self.last_rotation.get_or_insert(now));
        if elapsed < Self::PERIOD {
            return;
        }
        let [newer, _] = self.buckets;
        let older = if elapsed < Self::PERIOD * 2 { newer } else { Bucket::default() };
        self.buckets = [Bucket::default(), older];
        self.last_rotation = Some(now);
    }

    /// Records one event.
    pub fn record(&mut self, good: bool, time: Duration, now: Instant) {
        self.rotate(now);
        let bucket = &mut self.buckets[0];
        bucket.total += 1;
        bucket.failed += u32::from(!good);
        bucket.time += time;
    }

    /// Returns the number of events.
    pub fn count(&mut self, now: Instant) -> u32 {
        self.rotate(now);
        self.buckets.iter().map(|b| b.total).sum()
    }

    /// Returns the fraction of events that failed.
    pub fn failed_fraction(&mut self, now: Instant) -> f64 {
        let count = self.count(now);
        let failed: u32 = self.buckets.iter().map(|b| b.failed).sum();
        if count == 0 { 0.0 } else { f64::from(failed) / f64::from(count) }
    }

    /// Returns the mean duration of the events.
    pub fn mean_time(&mut self, now: Instant) -> Option<Duration> {
        let count = self.count(now);
        let time: Duration = self.buckets.iter().map(|b| b.time).sum();
        (count > 0).then(|| time / count)
    }
}

/// Observations about a traffic shift on one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShiftObservations {
    /// Fraction of capacity requests that the receiving region refused.
    pub denied: f64,
    /// Fraction of shifted requests that failed.
    pub failed: f64,
    /// Mean response time of the same service in the home region, plus the round trip to the
    /// receiving region.
    pub home_time: Option<Duration>,
    /// Number of shifted requests that completed.
    pub completed: u32,
    /// Mean response time of shifted requests.
    pub shifted_time: Option<Duration>,
    /// Fraction of the configured slots that the receiving region has in service.
    pub warm: f64,
}

impl ShiftObservations {
    /// Fraction of refused capacity requests above which the receiving region counts as full.
    const MAX_DENIED: f64 = 0.5;
    /// Fraction of failed requests above which the shift is rolled back.
    const MAX_FAILED: f64 = 0.1;
    /// Minimum number of completed requests for failures and response times to be meaningful.
    const MIN_REQUESTS: u32 = 10;
    /// Maximum ratio of the response times of shifted requests and of those at home.
    const MAX_SLOWDOWN: u32 = 2;
    /// Fraction of slots in service below which the receiving region counts as cold.
    const MIN_WARM: f64 = 0.75;

    /// Returns the reason why the share must not grow, or `None` if it may.
    ///
    /// ```
    /// use steer::{HoldReason, ShiftObservations};
    /// let good = ShiftObservations { completed: 100, warm: 1.0, ..ShiftObservations::default() };
    /// assert_eq!(good.reason(), None);
    /// assert_eq!(ShiftObservations { failed: 0.2, ..good }.reason(), Some(HoldReason::Failing));
    /// ```
    pub fn reason(&self) -> Option<HoldReason> {
        let significant = self.completed >= Self::MIN_REQUESTS;
        if significant && self.failed > Self::MAX_FAILED {
            return Some(HoldReason::Failing);
        }
        if significant && self.is_slow() {
            return Some(HoldReason::Slow);
        }
        if self.warm < Self::MIN_WARM {
            return Some(HoldReason::Cold);
        }
        (self.denied > Self::MAX_DENIED).then_some(HoldReason::Full)
    }

    fn is_slow(&self) -> bool {
        matches!(
            (self.shifted_time, self.home_time),
            (Some(time), Some(home)) if time > home * Self::MAX_SLOWDOWN
        )
    }
}
