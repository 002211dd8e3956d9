//! Outlier ejection: a slow target gets only trial requests until it is as fast as the others.

use std::time::Duration;
use tokio::time::Instant;

/// Whether a target is ejected, and when its next trial request is due.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut ejection, now) = (steer::OutlierEjection::default(), Instant::now());
/// ejection.eject(now, 1.0);
/// assert!(ejection.is_ejected() && !ejection.is_trial_due(now));
/// let later = now + steer::OutlierEjection::INITIAL_PAUSE;
/// assert!(ejection.is_trial_due(later));
/// ejection.record_trial(later, true, 1.0);
/// assert!(ejection.is_trial_due(later));
/// ejection.record_trial(later, true, 1.0);
/// assert!(!ejection.is_ejected());
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutlierEjection {
    /// When the next trial is due; `None` if the target isn't ejected.
    due: Option<Instant>,
    /// Number of consecutive passed trials.
    passed: u32,
    /// Time to the next trial after the ejection or a failed trial, before the jitter.
    pause: Duration,
}

impl OutlierEjection {
    /// Time from the ejection to the first trial.
    pub const INITIAL_PAUSE: Duration = Duration::from_millis(500);
    /// Maximum time between two trials.
    pub const MAX_PAUSE: Duration = Duration::from_secs(8);
    /// Number of consecutive trials that a target has to pass to be readmitted.
    pub const REQUIRED_PASSES: u32 = 2;

    /// Maximum number of ejected targets in a pool: a third of them, rounded down, but at least one
    /// if the pool has more than one target.
    ///
    /// ```
    /// assert_eq!([1, 2, 3, 12].map(steer::OutlierEjection::max_ejected), [0, 1, 1, 4]);
    /// ```
    pub fn max_ejected(targets: usize) -> usize {
        if targets < 2 { 0 } else { (targets / 3).max(1) }
    }

    /// Ejects the target; `jitter`, from 0.5 to 1, scales the time to the first trial.
    pub fn eject(&mut self, now: Instant, jitter: f64) {
        self.passed = 0;
        self.pause = Self::INITIAL_PAUSE;
        self.due = Some(now + self.pause.mul_f64(jitter));
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        self.due.is_some()
    }

    /// When the next trial is due; `None` if the target isn't ejected.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Whether a trial request may be sent now.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Records that a trial is sent. If its result is never recorded, the next trial is due after
    /// the pause.
    pub fn begin_trial(&mut self, now: Instant) {
        self.due = Some(now + self.pause);
    }

    /// Records the result of a trial. After a passed trial the next one is due at once, and
    /// [`Self::REQUIRED_PASSES`] in succession readmit the target. A failed trial resets the count
    /// and doubles the pause, up to [`Self::MAX_PAUSE`].
    pub fn record_trial(&mut self, now: Instant, is_passed: bool, jitter: f64) {
        if !is_passed {
            self.passed = 0;
            self.pause = (self.pause * 2).min(Self::MAX_PAUSE);
            self.due = Some(now + self.pause.mul_f64(jitter));
            return;
        }
        self.passed += 1;
        self.due = Some(now);
        if self.passed >= Self::REQUIRED_PASSES {
            *self = Self::default();
        }
    }
}
