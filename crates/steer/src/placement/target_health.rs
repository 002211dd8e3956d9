//! Failures of a target, as this VM has seen them.

use std::time::Duration;
use tokio::time::Instant;

/// Recent failures of a target: a pause after lost connections, and the share of failed requests.
///
/// ```
/// use steer::TargetHealth;
/// use tokio::time::Instant;
/// let (mut health, now) = (TargetHealth::default(), Instant::now());
/// health.note_lost(now);
/// assert!(health.is_paused(now));
/// assert!(!health.is_paused(now + TargetHealth::LONGEST_PAUSE));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failed: f64,
    losses: u32,
    paused: Option<Instant>,
}

impl TargetHealth {
    /// Pause after the first lost connection.
    pub const FIRST_PAUSE: Duration = Duration::from_millis(250);
    /// Longest pause, so that a target that is back is found within about two seconds.
    pub const LONGEST_PAUSE: Duration = Duration::from_secs(2);
    /// Weight of the newest result in the share of failures.
    const WEIGHT: f64 = 0.15;

    /// Notes an answer, and whether it was a failure.
    pub fn note_answer(&mut self, failed: bool) {
        self.losses = 0;
        self.paused = None;
        self.mix(failed);
    }

    /// Notes a connection that failed or broke.
    pub fn note_lost(&mut self, now: Instant) {
        let pause = (Self::FIRST_PAUSE * (1 << self.losses.min(4))).min(Self::LONGEST_PAUSE);
        self.losses += 1;
        self.paused = Some(now + pause);
        self.mix(true);
    }

    fn mix(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failed += (sample - self.failed) * Self::WEIGHT;
    }

    /// Whether the target gets nothing now, as its connections broke.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    /// Share of failures among the last answers, 0 to 1.
    pub fn failed(&self) -> f64 {
        self.failed
    }
}
