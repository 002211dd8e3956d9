//! Targets that are slowed get trial requests only, until they are as fast as the others.

use std::time::Duration;
use tokio::time::Instant;

/// Whether a target is eased out, and when its next trial is due.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut ease, now) = (steer::EaseOut::default(), Instant::now());
/// ease.begin(now, 1.0);
/// assert!(ease.is_out() && !ease.is_trial_due(now));
/// let later = now + steer::EaseOut::FIRST_PAUSE;
/// assert!(ease.is_trial_due(later));
/// ease.note_trial(later, true, 1.0);
/// assert!(ease.is_trial_due(later));
/// ease.note_trial(later, true, 1.0);
/// assert!(!ease.is_out());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EaseOut {
    due: Option<Instant>,
    passed: u32,
    pause: Duration,
}

impl EaseOut {
    /// Time from easing out to the first trial.
    pub const FIRST_PAUSE: Duration = Duration::from_millis(500);
    /// Longest time between two trials.
    pub const LONGEST_PAUSE: Duration = Duration::from_secs(8);
    /// Trials in a row that a target has to pass.
    pub const TRIALS: u32 = 2;

    /// Most targets of a pool that are out at a time: a third, one where there are two.
    ///
    /// ```
    /// assert_eq!([1, 2, 3, 12].map(steer::EaseOut::most_out), [0, 1, 1, 4]);
    /// ```
    pub fn most_out(targets: usize) -> usize {
        if targets < 2 { 0 } else { (targets / 3).max(1) }
    }

    /// Eases the target out, with a jitter from 0.5 to 1 on the time to its trial.
    pub fn begin(&mut self, now: Instant, jitter: f64) {
        self.passed = 0;
        self.pause = Self::FIRST_PAUSE;
        self.due = Some(now + self.pause.mul_f64(jitter));
    }

    /// Whether the target is eased out.
    pub fn is_out(&self) -> bool {
        self.due.is_some()
    }

    /// When the next trial is due; `None` where the target isn't eased out.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Whether a trial request may be sent now.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Notes that a trial is sent: the next one is due a pause later.
    pub fn begin_trial(&mut self, now: Instant) {
        self.due = Some(now + self.pause);
    }

    /// Notes the end of a trial: enough good ones let the target back in, a bad one doubles the pause.
    pub fn note_trial(&mut self, now: Instant, good: bool, jitter: f64) {
        if !good {
            self.passed = 0;
            self.pause = (self.pause * 2).min(Self::LONGEST_PAUSE);
            self.due = Some(now + self.pause.mul_f64(jitter));
            return;
        }
        self.passed += 1;
        self.due = Some(now);
        if self.passed >= Self::TRIALS {
            *self = Self::default();
        }
    }
}
