//! Life cycle of one incarnation of a target as a typestate.

use super::{Belief, Hold, HoldCause, RequestedPause};
use std::time::Duration;
use tokio::time::Instant;

/// The target has not said that it leaves.
#[derive(Clone, Debug, Default)]
pub struct Accepting {
    pause: Option<RequestedPause>,
}

/// The target said in a response that it leaves.
#[derive(Clone, Debug)]
pub struct Departing {
    belief: Belief,
}

/// Proof that a target may get a request; only an accepting target issues one.
#[derive(Debug)]
pub struct Admission(());

/// One incarnation of a target in one state of its life cycle.
///
/// ```
/// use steer::{Belief, BeliefSource, HoldCause, TargetLife};
/// let now = tokio::time::Instant::now();
/// let life = TargetLife::start();
/// assert!(life.admit(now, 0).is_ok());
/// let life = life.depart(Belief::new(BeliefSource::Response, now));
/// assert_eq!(life.hold().cause, HoldCause::Leaving);
/// ```
///
/// A departing target admits no requests, and never accepts again; only its next incarnation does:
///
/// ```compile_fail,E0599
/// fn admit(life: &steer::TargetLife<steer::Departing>, now: tokio::time::Instant) {
///     life.admit(now, 0);
/// }
/// ```
#[derive(Clone, Debug)]
pub struct TargetLife<S> {
    state: S,
}

impl TargetLife<Accepting> {
    /// Starts the life cycle of an incarnation.
    pub fn start() -> Self {
        Self { state: Accepting::default() }
    }

    /// Ends the acceptance of requests.
    pub fn depart(self, belief: Belief) -> TargetLife<Departing> {
        TargetLife { state: Departing { belief } }
    }

    /// Admits a request unless the target is in a pause that it requested, or has as many requests
    /// in flight from this VM as it may have shortly after one.
    ///
    /// # Errors
    ///
    /// Returns the reason and its end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{Belief, BeliefSource, TargetLife};
    /// let now = tokio::time::Instant::now();
    /// let mut life = TargetLife::start();
    /// life.pause(Belief::new(BeliefSource::Response, now), Duration::from_secs(2));
    /// assert!(life.admit(now + Duration::from_secs(1), 0).is_err());
    /// assert!(life.admit(now + Duration::from_secs(2), 0).is_ok());
    /// ```
    pub fn admit(&self, now: Instant, in_flight: u32) -> Result<Admission, Hold> {
        match self.state.pause.and_then(|pause| pause.hold(now, in_flight)) {
            Some(hold) => Err(hold),
            None => Ok(Admission(())),
        }
    }

    /// Starts or extends a pause; returns whether one starts.
    pub fn pause(&mut self, belief: Belief, time: Duration) -> bool {
        let paused = self.is_paused(belief.since);
        let pause = RequestedPause::new(belief, time);
        match &mut self.state.pause {
            Some(current) if paused => current.extend(pause),
            current => *current = Some(pause),
        }
        !paused
    }

    /// Returns whether the target is in a pause.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.state.pause.is_some_and(|pause| now < pause.until())
    }

    /// Records that the target ran a request, which lets more requests follow after a pause.
    pub fn record_run(&mut self, now: Instant) {
        if let Some(pause) = &mut self.state.pause {
            pause.record_run(now);
        }
    }

    /// Returns the pause that ended before `now` and was not reported yet.
    pub(super) fn take_return(&mut self, now: Instant) -> Option<Belief> {
        self.state.pause.as_mut()?.take_return(now)
    }
}

impl TargetLife<Departing> {
    /// Returns why the target gets no requests; this never ends.
    pub fn hold(&self) -> Hold {
        Hold { belief: self.state.belief, cause: HoldCause::Leaving, until: None }
    }
}
