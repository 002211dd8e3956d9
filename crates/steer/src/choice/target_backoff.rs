//! Backoff after a target was unreachable or shed a request.

use std::time::Duration;
use tokio::time::Instant;

/// Exponential backoff: no new requests go to the target during a pause that doubles with each
/// consecutive failure.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut backoff, now) = (steer::TargetBackoff::default(), Instant::now());
/// backoff.record_failure(now, None, 1.0);
/// assert_eq!(backoff.until(), Some(now + Duration::from_millis(100)));
/// backoff.record_failure(now, None, 1.0);
/// assert_eq!(backoff.until(), Some(now + Duration::from_millis(200)));
/// backoff.record_success();
/// assert_eq!(backoff.until(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetBackoff {
    failures: u32,
    until: Option<Instant>,
}

impl TargetBackoff {
    /// Pause after the first failure.
    pub const INITIAL_PAUSE: Duration = Duration::from_millis(100);
    /// Maximum pause from doubling; a target may request a longer one, up to
    /// [`Self::MAX_REQUESTED`].
    pub const MAX_PAUSE: Duration = Duration::from_secs(10);
    /// Maximum pause that a target may request.
    pub const MAX_REQUESTED: Duration = Duration::from_secs(30);

    /// Records a failure, with the pause that the target requested and a jitter from 0.5 to 1.
    ///
    /// Each failure counts, also of a request that was sent before the pause began.
    pub fn record_failure(&mut self, now: Instant, requested: Option<Duration>, jitter: f64) {
        let doubled = Self::INITIAL_PAUSE * 2_u32.pow(self.failures.min(10));
        let pause = doubled.min(Self::MAX_PAUSE).mul_f64(jitter);
        let requested = requested.unwrap_or_default().min(Self::MAX_REQUESTED);
        self.failures += 1;
        self.until = self.until.max(Some(now + pause.max(requested)));
    }

    /// Ends the pause and resets the backoff.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// End of the pause, possibly in the past.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Whether the target is in a pause and gets no requests.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
