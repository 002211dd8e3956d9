//! How fast a target is compared with the pool's other targets.

use std::time::Duration;
use tokio::time::Instant;

/// Pace of one target in one class: a mean of logarithms, which a single straggler moves little.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    mean: f32,
    samples: u32,
}

/// A request under way, with the time from which it counts as overdue.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    due: Option<Instant>,
    id: u64,
}

/// Own timings of a target, one pace for each class, and the age of what is under way.
///
/// ```
/// use std::time::Duration;
/// use steer::{TargetPace, reference_pace};
/// let now = tokio::time::Instant::now();
/// let (mut fast, mut slow) = (TargetPace::default(), TargetPace::default());
/// for _ in 0..4 {
///     fast.record(now, 0, Duration::from_millis(20));
///     slow.record(now, 0, Duration::from_millis(200));
/// }
/// let reference = reference_pace([&fast, &slow].into_iter(), 0);
/// slow.compare(0, reference);
/// assert!(slow.is_slow(now));
/// ```
#[derive(Clone, Debug)]
pub struct TargetPace {
    classes: Vec<Pace>,
    factor: f32,
    last: Option<Instant>,
    /// Sorted by the time from which they are overdue, those without one last.
    open: Vec<Outstanding>,
}

impl Default for TargetPace {
    fn default() -> Self {
        Self { classes: Vec::new(), factor: 1.0, last: None, open: Vec::new() }
    }
}

impl TargetPace {
    /// Factor on the others' times from which a target counts as slowed.
    pub const SLOW: f32 = 2.5;
    /// Time for which the times count when no new ones come.
    const KEPT: Duration = Duration::from_secs(5);
    /// Factor on the others' times after which a request under way is overdue.
    const OVERDUE: f32 = 4.0;
    /// Time that a request may take beyond the factor before it is overdue.
    const GRACE: Duration = Duration::from_millis(10);
    /// Overdue requests from which a target counts as slowed.
    const MOST_OVERDUE: usize = 2;
    /// Part of a new time in the mean.
    const GAIN: f32 = 0.2;
    /// Answers of a class before its pace counts.
    const ENOUGH: u32 = 3;

    /// Notes a request that was sent; `reference` is the others' pace in its class.
    pub fn begin(&mut self, now: Instant, id: u64, reference: Option<f32>) {
        let usual = reference.map(|pace| Duration::from_secs_f32(pace.exp() * Self::OVERDUE));
        let due = usual.map(|usual| now + usual + Self::GRACE);
        let known = |request: &Outstanding| request.due.is_some() && request.due <= due;
        let place = if due.is_some() { self.open.partition_point(known) } else { self.open.len() };
        self.open.insert(place, Outstanding { due, id });
    }

    /// Notes that a request is no longer under way.
    pub fn end(&mut self, id: u64) {
        self.open.retain(|request| request.id != id);
    }

    /// Records the time from sending a request to the head of its answer.
    pub fn record(&mut self, now: Instant, class: usize, time: Duration) {
        self.last = Some(now);
        if self.classes.len() <= class {
            self.classes.resize(class + 1, Pace::default());
        }
        let pace = &mut self.classes[class];
        let value = time.as_secs_f32().max(1e-6).ln();
        let gain = Self::GAIN.max(1.0 / (pace.samples + 1) as f32);
        pace.mean += (value - pace.mean) * gain;
        pace.samples += 1;
    }

    /// Pace in a class as a logarithm of seconds; `None` before there were enough answers.
    pub fn pace(&self, class: usize) -> Option<f32> {
        let pace = self.classes.get(class)?;
        (pace.samples >= Self::ENOUGH).then_some(pace.mean)
    }

    /// Compares the target with the others' pace in a class.
    pub fn compare(&mut self, class: usize, reference: Option<f32>) {
        let difference = self.pace(class).zip(reference).map(|(own, others)| own - others);
        self.factor = difference.map_or(1.0, |d| d.exp().clamp(0.5, 100.0));
    }

    /// Time of the answers against the pool's other targets, 1 for the same.
    pub fn factor(&self) -> f32 {
        self.factor
    }

    /// Whether the target is slowed, by its answers or by the age of what is under way.
    pub fn is_slow(&self, now: Instant) -> bool {
        if self.factor >= Self::SLOW {
            return true;
        }
        self.slow_at().is_some_and(|at| at <= now)
    }

    /// When the requests under way make the target slowed, if they don't end before.
    fn slow_at(&self) -> Option<Instant> {
        let needed = Self::MOST_OVERDUE.max(self.open.len().div_ceil(2));
        self.open.get(needed - 1)?.due
    }

    /// Forgets times that are old: a target that seemed a little slower, and got no work since,
    /// is tried again like the others.
    pub fn forget_old(&mut self, now: Instant) {
        let old = |last: Instant| now.saturating_duration_since(last) >= Self::KEPT;
        if self.last.is_some_and(old) {
            self.forget();
        }
    }

    /// Forgets the times, so that the target is judged anew.
    pub fn forget(&mut self) {
        self.classes.clear();
        self.factor = 1.0;
        self.last = None;
    }
}

/// The usual pace in a class: the lower median of the targets that have one.
///
/// The lower one, so that of two targets the slower never sets the measure.
pub fn reference_pace<'a>(
    targets: impl Iterator<Item = &'a TargetPace>,
    class: usize,
) -> Option<f32> {
    let mut paces: Vec<f32> = targets.filter_map(|target| target.pace(class)).collect();
    let middle = paces.len().checked_sub(1)? / 2;
    Some(*paces.select_nth_unstable_by(middle, f32::total_cmp).1)
}
