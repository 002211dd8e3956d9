//! How long the requests of a class take in a pool.

use std::time::Duration;
use tokio::time::Instant;

/// Times of the last answers of a class: their mean, and a high quantile.
///
/// An estimate that gets no new times loses half of its value each second, so that one that is
/// far too high can't keep out the requests that would put it right.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut times, now) = (steer::ClassTimes::default(), Instant::now());
/// for ms in 1..=100 {
///     times.record(now, Duration::from_millis(ms));
/// }
/// assert!(times.p95() >= Some(Duration::from_millis(90)));
/// assert!(times.mean(now) > times.mean(now + Duration::from_secs(3)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ClassTimes {
    last: Option<Instant>,
    mean: Duration,
    next: usize,
    p95: Option<Duration>,
    ring: Vec<Duration>,
    unsorted: usize,
}

impl ClassTimes {
    /// Expected time of a class that has had no answer yet.
    pub const FIRST_GUESS: Duration = Duration::from_millis(20);
    /// Idle time after which an estimate starts to lose value.
    const FRESH: Duration = Duration::from_secs(2);
    /// Number of times that are kept.
    const KEPT: usize = 128;
    /// New times after which the quantile is worked out again.
    const REFRESH: usize = 16;
    /// Part of a new time in the mean.
    const GAIN: f64 = 0.1;

    /// Records the time of one answer.
    pub fn record(&mut self, now: Instant, time: Duration) {
        self.mean = match self.last {
            None => time,
            Some(_) => self.mean.mul_f64(1.0 - Self::GAIN) + time.mul_f64(Self::GAIN),
        };
        self.last = Some(now);
        if self.ring.len() < Self::KEPT {
            self.ring.push(time);
        } else {
            self.ring[self.next] = time;
            self.next = (self.next + 1) % Self::KEPT;
        }
        self.unsorted += 1;
        if self.unsorted >= Self::REFRESH {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.unsorted = 0;
        let mut sorted = self.ring.clone();
        let place = sorted.len() * 95 / 100;
        self.p95 = Some(*sorted.select_nth_unstable(place).1);
    }

    /// Expected slot time of a request.
    pub fn mean(&self, now: Instant) -> Duration {
        let Some(last) = self.last else { return Self::FIRST_GUESS };
        let idle = now.saturating_duration_since(last);
        let Some(stale) = idle.checked_sub(Self::FRESH) else { return self.mean };
        self.mean.mul_f64(0.5_f64.powf(stale.as_secs_f64()))
    }

    /// Time that 95 in 100 answers took at most; `None` before there were enough of them.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }
}
