//! A pause that a target requested, and the return from it.

use super::{Belief, Hold, HoldCause};
use std::time::Duration;
use tokio::time::Instant;

/// A pause that a target requested, and the ramp after it.
///
/// After the pause, the requests in flight from this VM start at one and double with each request
/// that the target runs, so that the waiting callers don't all arrive at once.
///
/// ```
/// use std::time::Duration;
/// use steer::{Belief, BeliefSource, RequestedPause};
/// let now = tokio::time::Instant::now();
/// let pause = RequestedPause::new(Belief::new(BeliefSource::Response, now), Duration::from_secs(1));
/// assert!(pause.hold(now, 0).is_some());
/// assert!(pause.hold(pause.until(), 0).is_none());
/// assert!(pause.hold(pause.until(), 1).is_some());
/// assert!(pause.hold(pause.until() + RequestedPause::RAMP_TIME, 1).is_none());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestedPause {
    belief: Belief,
    /// Requests in flight that the ramp allows.
    limit: u32,
    /// Whether a request was placed after the end.
    returned: bool,
    until: Instant,
}

impl RequestedPause {
    /// Maximum time that a target may request; a longer one is treated as an error.
    pub const LONGEST: Duration = Duration::from_secs(3_600);
    /// Time after the pause at which the ramp ends, whatever the target has run.
    pub const RAMP_TIME: Duration = Duration::from_secs(2);
    /// Fraction of a pause over which the VMs of the fleet spread their return.
    pub const SPREAD: f64 = 0.1;
    /// Maximum time over which the VMs of the fleet spread their return.
    pub const LONGEST_SPREAD: Duration = Duration::from_secs(1);

    /// Creates a pause that starts with a belief.
    pub fn new(belief: Belief, time: Duration) -> Self {
        Self { belief, limit: 1, returned: false, until: belief.since + time }
    }

    /// Returns the end of the pause.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Moves the end of the pause to that of another one if that is later.
    pub fn extend(&mut self, other: Self) {
        self.until = self.until.max(other.until);
    }

    /// Returns why a request is held, if it is, given this VM's requests in flight at the target.
    pub fn hold(&self, now: Instant, in_flight: u32) -> Option<Hold> {
        let hold = |cause, until| Some(Hold { belief: self.belief, cause, until: Some(until) });
        if now < self.until {
            return hold(HoldCause::Paused, self.until);
        }
        let ramp_end = self.until + Self::RAMP_TIME;
        if now < ramp_end && in_flight >= self.limit {
            return hold(HoldCause::Returning, ramp_end);
        }
        None
    }

    /// Records that the target ran a request.
    pub fn record_run(&mut self, now: Instant) {
        if now >= self.until {
            self.limit = self.limit.saturating_mul(2);
        }
    }

    pub(super) fn take_return(&mut self, now: Instant) -> Option<Belief> {
        if now < self.until || self.returned {
            return None;
        }
        self.returned = true;
        Some(self.belief)
    }
}
