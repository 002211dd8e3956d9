//! Failures of a target as observed by this VM.

use super::{Belief, BeliefSource};
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
/// assert!(health.back_off(now).is_some());
/// assert!(health.back_off(now + TargetHealth::LONGEST_PAUSE).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    /// The cause of the back-off and its end.
    back_off: Option<(Belief, Instant)>,
    failure_rate: f64,
    lost_connections: u32,
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
        self.back_off = None;
        self.update_failure_rate(failed);
    }

    /// Records a connection that could not be established or was lost.
    pub fn record_lost(&mut self, now: Instant) {
        let pause =
            (Self::FIRST_PAUSE * (1 << self.lost_connections.min(4))).min(Self::LONGEST_PAUSE);
        self.lost_connections += 1;
        let belief = Belief::new(BeliefSource::Connection, now);
        self.back_off = Some((belief, now + pause));
        self.update_failure_rate(true);
    }

    fn update_failure_rate(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * Self::WEIGHT;
    }

    /// Records a refusal that named no usable time. Returns the length of the backoff if one starts.
    pub fn record_refused(&mut self, now: Instant) -> Option<Duration> {
        if self.back_off(now).is_some() {
            return None;
        }
        let belief = Belief::new(BeliefSource::Response, now);
        self.back_off = Some((belief, now + Self::FIRST_PAUSE));
        Some(Self::FIRST_PAUSE)
    }

    /// Returns what the backoff is based on and its end, if the target is in one.
    pub fn back_off(&self, now: Instant) -> Option<(Belief, Instant)> {
        self.back_off.filter(|(_, until)| now < *until)
    }

    /// Returns the moving average of the failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
