//! Pauses after a target failed to connect or shed a request.

use std::time::Duration;
use tokio::time::Instant;

/// Keeps new work from a target for pauses that double with each failure in a row.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut backoff, now) = (steer::TargetBackoff::default(), Instant::now());
/// backoff.note_failure(now, None, 1.0);
/// assert_eq!(backoff.until(), Some(now + Duration::from_millis(100)));
/// backoff.note_failure(now, None, 1.0);
/// assert_eq!(backoff.until(), Some(now + Duration::from_millis(200)));
/// backoff.note_success();
/// assert_eq!(backoff.until(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetBackoff {
    failures: u32,
    until: Option<Instant>,
}

impl TargetBackoff {
    /// Pause after the first failure.
    pub const FIRST: Duration = Duration::from_millis(100);
    /// Longest pause that the doubling leads to.
    pub const LONGEST: Duration = Duration::from_secs(10);
    /// Longest pause that a target can ask for.
    pub const LONGEST_ASKED: Duration = Duration::from_secs(30);

    /// Notes a failure, with the pause that the target asked for and a jitter from 0.5 to 1.
    ///
    /// Failures of requests that were sent before the pause began count once.
    pub fn note_failure(&mut self, now: Instant, asked: Option<Duration>, jitter: f64) {
        let doubled = Self::FIRST * 2_u32.pow(self.failures.min(10));
        let pause = doubled.min(Self::LONGEST).mul_f64(jitter);
        let asked = asked.unwrap_or_default().min(Self::LONGEST_ASKED);
        self.failures += 1;
        self.until = self.until.max(Some(now + pause.max(asked)));
    }

    /// Ends the pause and starts the doubling anew.
    pub fn note_success(&mut self) {
        *self = Self::default();
    }

    /// End of the pause, which may have passed.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Whether the target gets no work now.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
