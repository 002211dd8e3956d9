//! What a VM sees of the receiving side of a shift.

use super::HoldReason;
use std::time::Duration;
use tokio::time::Instant;

/// Counts of the last one to two seconds.
///
/// ```
/// use steer::Tally;
/// use tokio::time::{Duration, Instant};
/// let (mut tally, now) = (Tally::new(), Instant::now());
/// tally.note(true, Duration::from_millis(20), now);
/// tally.note(false, Duration::from_millis(40), now);
/// assert_eq!(tally.count(now), 2);
/// assert_eq!(tally.failed_part(now), 0.5);
/// assert_eq!(tally.mean_time(now), Some(Duration::from_millis(30)));
/// assert_eq!(tally.count(now + Duration::from_secs(2)), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tally {
    buckets: [Bucket; 2],
    turned: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    all: u32,
    failed: u32,
    time: Duration,
}

impl Tally {
    const PERIOD: Duration = Duration::from_secs(1);

    /// Makes a tally that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    fn turn(&mut self, now: Instant) {
        let since = now.saturating_duration_since(*self.turned.get_or_insert(now));
        if since < Self::PERIOD {
            return;
        }
        let [newer, _] = self.buckets;
        let older = if since < Self::PERIOD * 2 { newer } else { Bucket::default() };
        self.buckets = [Bucket::default(), older];
        self.turned = Some(now);
    }

    /// Counts one event.
    pub fn note(&mut self, good: bool, time: Duration, now: Instant) {
        self.turn(now);
        let bucket = &mut self.buckets[0];
        bucket.all += 1;
        bucket.failed += u32::from(!good);
        bucket.time += time;
    }

    /// Number of events.
    pub fn count(&mut self, now: Instant) -> u32 {
        self.turn(now);
        self.buckets.iter().map(|b| b.all).sum()
    }

    /// Part of the events that failed, from 0 to 1.
    pub fn failed_part(&mut self, now: Instant) -> f64 {
        let all = self.count(now);
        let failed: u32 = self.buckets.iter().map(|b| b.failed).sum();
        if all == 0 { 0.0 } else { f64::from(failed) / f64::from(all) }
    }

    /// Mean time of the events.
    pub fn mean_time(&mut self, now: Instant) -> Option<Duration> {
        let all = self.count(now);
        let time: Duration = self.buckets.iter().map(|b| b.time).sum();
        (all > 0).then(|| time / all)
    }
}

/// What a VM sees of the receiving side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShiftSigns {
    /// Part of the asks for room that were refused, from 0 to 1.
    pub denied: f64,
    /// Part of the shifted requests that failed, from 0 to 1.
    pub failed: f64,
    /// Mean time of the same service's requests at home, with the way to the other region.
    pub home: Option<Duration>,
    /// Shifted requests that ended.
    pub seen: u32,
    /// Mean time of shifted requests.
    pub time: Option<Duration>,
    /// Part of the configured slots that the receiving side has in service, from 0 to 1.
    pub warm: f64,
}

impl ShiftSigns {
    /// Part of refused asks from which the receiving side counts as full.
    const FULL: f64 = 0.5;
    /// Part of failed requests from which the receiving side suffers.
    const FAILING: f64 = 0.1;
    /// Ended requests below which failures and times tell nothing.
    const ENOUGH: u32 = 10;
    /// How many times longer than at home shifted requests may take.
    const SLOW: u32 = 2;
    /// Part of its slots below which the receiving side is cold.
    const WARM: f64 = 0.75;

    /// Why the shift can't go forward; `None` where it can.
    ///
    /// ```
    /// use steer::{HoldReason, ShiftSigns};
    /// let good = ShiftSigns { seen: 100, warm: 1.0, ..ShiftSigns::default() };
    /// assert_eq!(good.reason(), None);
    /// assert_eq!(ShiftSigns { failed: 0.2, ..good }.reason(), Some(HoldReason::Failing));
    /// ```
    pub fn reason(&self) -> Option<HoldReason> {
        let enough = self.seen >= Self::ENOUGH;
        if enough && self.failed > Self::FAILING {
            return Some(HoldReason::Failing);
        }
        if enough && self.is_slow() {
            return Some(HoldReason::Slow);
        }
        if self.warm < Self::WARM {
            return Some(HoldReason::Cold);
        }
        (self.denied > Self::FULL).then_some(HoldReason::Full)
    }

    fn is_slow(&self) -> bool {
        matches!((self.time, self.home), (Some(time), Some(home)) if time > home * Self::SLOW)
    }
}
