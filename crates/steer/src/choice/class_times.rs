//! Slot times of a request class in a pool.

use std::time::Duration;
use tokio::time::Instant;

/// Moving average and 95th percentile of the slot times of a class.
///
/// Without new samples the estimate halves each second. Otherwise, an estimate that is far too high
/// would let requests be refused as too late for their deadlines, and no samples would correct it.
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
    /// Index of the oldest sample once the ring buffer is full.
    oldest: usize,
    p95: Option<Duration>,
    /// Number of samples since the percentile was last computed.
    unprocessed: usize,
    ring: Vec<Duration>,
}

impl ClassTimes {
    /// Expected time of a class without samples.
    pub const INITIAL_ESTIMATE: Duration = Duration::from_millis(20);
    /// Time without samples after which the estimate starts to decay.
    const DECAY_AFTER: Duration = Duration::from_secs(2);
    /// Capacity of the ring buffer of samples.
    const RING_SIZE: usize = 128;
    /// Number of new samples after which the percentile is recomputed.
    const P95_REFRESH: usize = 16;
    /// Weight of a new sample in the moving average.
    const EWMA_WEIGHT: f64 = 0.1;

    /// Records the slot time of an answered request.
    pub fn record(&mut self, now: Instant, time: Duration) {
        self.mean = match self.last {
            None => time,
            Some(_) => self.mean.mul_f64(1.0 - Self::EWMA_WEIGHT) + time.mul_f64(Self::EWMA_WEIGHT),
        };
        self.last = Some(now);
        if self.ring.len() < Self::RING_SIZE {
            self.ring.push(time);
        } else {
            self.ring[self.oldest] = time;
            self.oldest = (self.oldest + 1) % Self::RING_SIZE;
        }
        self.unprocessed += 1;
        if self.unprocessed >= Self::P95_REFRESH {
            self.update_p95();
        }
    }

    fn update_p95(&mut self) {
        self.unprocessed = 0;
        let mut sorted = self.ring.clone();
        let index = sorted.len() * 95 / 100;
        self.p95 = Some(*sorted.select_nth_unstable(index).1);
    }

    /// Expected slot time of a request.
    pub fn mean(&self, now: Instant) -> Duration {
        let Some(last) = self.last else { return Self::INITIAL_ESTIMATE };
        let idle = now.saturating_duration_since(last);
        let Some(decaying) = idle.checked_sub(Self::DECAY_AFTER) else { return self.mean };
        self.mean.mul_f64(0.5_f64.powf(decaying.as_secs_f64()))
    }

    /// The 95th percentile; `None` before there are enough samples.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }
}
