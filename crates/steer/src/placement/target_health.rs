//! Failures of a target as observed by this VM.

use std::time::Duration;
use tokio::time::Instant;

/// Health of a target: the backoff after failed connections, and a moving average of the failure
/// rate.
///
/// ```
/// use steer::TargetHealth;
/// use tokio::time::Instant;
/// let (mut health, now) = (TargetHealth::default(), Instant::now());
/// health.record_lost(now);
/// assert!(health.is_paused(now));
/// assert!(!health.is_paused(now + TargetHealth::LONGEST_PAUSE));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    lost_connections: u32,
    paused_until: Option<Instant>,
}

impl TargetHealth {
    /// Backoff after the first failed connection.
    pub const FIRST_PAUSE: Duration = Duration::from_millis(250);
    /// Maximum backoff, so that a recovered target is noticed within about two seconds.
    pub const LONGEST_PAUSE: Duration = Duration::from_secs(2);
    /// Weight of the newest result in the moving average of the failure rate.
    const WEIGHT: f64 = 0.15;

    /// Records a response and whether it was a failure.
    pub fn record_answer(&mut self, failed: bool) {
        self.lost_connections = 0;
        self.paused_until = None;
        self.update_failure_rate(failed);
    }

    /// Records a connection that could not be established or was lost.
    pub fn record_lost(&mut self, now: Instant) {
        let pause =
            (Self::FIRST_PAUSE * (1 << self.lost_connections.min(4))).min(Self::LONGEST_PAUSE);
        self.lost_connections += 1;
        self.paused_until = Some(now + pause);
        self.update_failure_rate(true);
    }

    fn update_failure_rate(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * Self::WEIGHT;
    }

    /// Returns whether the target is in backoff after failed connections.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of the failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
