//! Response times of a target relative to the pool's other targets.

use std::time::Duration;
use tokio::time::Instant;

/// Moving average of the logarithm of the response time of a target in one class. The logarithm
/// limits the effect of a single straggler.
#[derive(Clone, Copy, Debug, Default)]
struct LogLatency {
    mean: f32,
    samples: u32,
}

/// A request in progress, with the time from which it counts as overdue.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    due: Option<Instant>,
    id: u64,
}

/// Response times of a target by class, measured by this VM, and the age of the requests in
/// progress.
///
/// ```
/// use std::time::Duration;
/// use steer::{RelativeLatency, reference_latency};
/// let now = tokio::time::Instant::now();
/// let (mut fast, mut slow) = (RelativeLatency::default(), RelativeLatency::default());
/// for _ in 0..4 {
///     fast.record_latency(now, 0, Duration::from_millis(20));
///     slow.record_latency(now, 0, Duration::from_millis(200));
/// }
/// let reference = reference_latency([&fast, &slow].into_iter(), 0);
/// slow.update_ratio(0, reference);
/// assert!(slow.is_slow(now));
/// ```
#[derive(Clone, Debug)]
pub struct RelativeLatency {
    classes: Vec<LogLatency>,
    last_sample: Option<Instant>,
    /// Requests in progress, sorted by due time; those without one are last.
    outstanding: Vec<Outstanding>,
    /// Response time relative to the reference latency of the last class that was compared.
    ratio: f32,
}

impl Default for RelativeLatency {
    fn default() -> Self {
        Self { classes: Vec::new(), last_sample: None, outstanding: Vec::new(), ratio: 1.0 }
    }
}

impl RelativeLatency {
    /// Ratio to the reference from which a target counts as slow.
    pub const SLOW_RATIO: f32 = 2.5;
    /// Time without samples after which the measurements expire.
    const MAX_AGE: Duration = Duration::from_secs(5);
    /// Ratio to the reference after which a request in progress is overdue.
    const OVERDUE_RATIO: f32 = 4.0;
    /// Additional time before a request is overdue.
    const OVERDUE_MARGIN: Duration = Duration::from_millis(10);
    /// Minimum number of overdue requests for a target to count as slow; at least half of those in
    /// progress have to be overdue, too.
    const MIN_OVERDUE: usize = 2;
    /// Weight of a new sample in the moving average.
    const EWMA_WEIGHT: f32 = 0.2;
    /// Number of samples of a class before its average is used.
    const MIN_SAMPLES: u32 = 3;

    /// Records that a request was sent; `reference` is the reference latency of its class.
    pub fn begin_request(&mut self, now: Instant, id: u64, reference: Option<f32>) {
        let limit =
            reference.map(|latency| Duration::from_secs_f32(latency.exp() * Self::OVERDUE_RATIO));
        let due = limit.map(|limit| now + limit + Self::OVERDUE_MARGIN);
        let is_earlier = |request: &Outstanding| request.due.is_some() && request.due <= due;
        let index = if due.is_some() {
            self.outstanding.partition_point(is_earlier)
        } else {
            self.outstanding.len()
        };
        self.outstanding.insert(index, Outstanding { due, id });
    }

    /// Records that a request is no longer in progress.
    pub fn end_request(&mut self, id: u64) {
        self.outstanding.retain(|request| request.id != id);
    }

    /// Records the time from sending a request to the head of its response.
    pub fn record_latency(&mut self, now: Instant, class: usize, time: Duration) {
        self.last_sample = Some(now);
        if self.classes.len() <= class {
            self.classes.resize(class + 1, LogLatency::default());
        }
        let latency = &mut self.classes[class];
        let value = time.as_secs_f32().max(1e-6).ln();
        let gain = Self::EWMA_WEIGHT.max(1.0 / (latency.samples + 1) as f32);
        latency.mean += (value - latency.mean) * gain;
        latency.samples += 1;
    }

    /// Latency in a class as the logarithm of seconds; `None` before there are enough samples.
    pub fn log_latency(&self, class: usize) -> Option<f32> {
        let latency = self.classes.get(class)?;
        (latency.samples >= Self::MIN_SAMPLES).then_some(latency.mean)
    }

    /// Updates the ratio to the reference latency of a class.
    pub fn update_ratio(&mut self, class: usize, reference: Option<f32>) {
        let difference = self.log_latency(class).zip(reference).map(|(own, others)| own - others);
        self.ratio = difference.map_or(1.0, |d| d.exp().clamp(0.5, 100.0));
    }

    /// Response time relative to the pool's other targets; 1 if equal.
    pub fn ratio(&self) -> f32 {
        self.ratio
    }

    /// Whether the target is slow, by its response times or by the age of the requests in progress.
    pub fn is_slow(&self, now: Instant) -> bool {
        if self.ratio >= Self::SLOW_RATIO {
            return true;
        }
        self.slow_at().is_some_and(|at| at <= now)
    }

    /// When enough requests in progress are overdue for the target to count as slow, if none ends
    /// before.
    fn slow_at(&self) -> Option<Instant> {
        let needed = Self::MIN_OVERDUE.max(self.outstanding.len().div_ceil(2));
        self.outstanding.get(needed - 1)?.due
    }

    /// Discards expired measurements. Otherwise, a target that was measured as slightly slower and
    /// has received no requests since might never be chosen again.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= Self::MAX_AGE;
        if self.last_sample.is_some_and(is_expired) {
            self.clear();
        }
    }

    /// Discards the measurements.
    pub fn clear(&mut self) {
        self.classes.clear();
        self.ratio = 1.0;
        self.last_sample = None;
    }
}

/// The reference latency of a class: the lower median of the targets with enough samples.
///
/// The lower median is used so that of two targets the slower one is never the reference.
pub fn reference_latency<'a>(
    targets: impl Iterator<Item = &'a RelativeLatency>,
    class: usize,
) -> Option<f32> {
    let mut latencies: Vec<f32> = targets.filter_map(|target| target.log_latency(class)).collect();
    let middle = latencies.len().checked_sub(1)? / 2;
    Some(*latencies.select_nth_unstable_by(middle, f32::total_cmp).1)
}
