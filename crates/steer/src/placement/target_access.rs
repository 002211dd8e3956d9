//! What this VM believes about whether a target may get requests.

use super::{
    Accepting, Admission, Belief, BeliefSource, Departing, Hold, HoldCause, LimitNotice,
    PauseRequest, RequestedLimit, RequestedPause, TargetHealth, TargetLife,
};
use std::time::Duration;
use tokio::time::Instant;

/// The life cycle of an incarnation in any of its states.
#[derive(Clone, Debug)]
enum AnyLife {
    Accepting(TargetLife<Accepting>),
    Departing(TargetLife<Departing>),
}

/// A limit on new work, as after a start.
#[derive(Clone, Copy, Debug)]
struct ColdLimit {
    belief: Belief,
    until: Instant,
}

/// Everything that decides whether an incarnation of a target may get a request.
///
/// ```
/// use steer::{HoldCause, TargetAccess};
/// let now = tokio::time::Instant::now();
/// let mut access = TargetAccess::default();
/// assert!(access.admit(now, 0, || true).is_ok());
/// access.record_leaving(now);
/// assert_eq!(access.admit(now, 0, || true).unwrap_err().cause, HoldCause::Leaving);
/// ```
#[derive(Clone, Debug)]
pub struct TargetAccess {
    cold: Option<ColdLimit>,
    health: TargetHealth,
    life: AnyLife,
    limit: Option<RequestedLimit>,
    /// Since when a different target responds at the address.
    misdirected: Option<Belief>,
    /// Since when the registration says that the target leaves.
    withdrawn: Option<Belief>,
}

impl Default for TargetAccess {
    fn default() -> Self {
        Self {
            cold: None,
            health: TargetHealth::default(),
            life: AnyLife::Accepting(TargetLife::start()),
            limit: None,
            misdirected: None,
            withdrawn: None,
        }
    }
}

impl TargetAccess {
    /// Longest time for which a target counts as cold; a clock can't add any time.
    const LONGEST_COLD: Duration = Duration::from_secs(24 * 3_600);

    /// Admits a request, given this VM's requests in flight at the target and whether its quota for
    /// a cold target has room.
    ///
    /// # Errors
    ///
    /// Returns the reason that lasts longest.
    pub fn admit(
        &self,
        now: Instant,
        in_flight: u32,
        has_quota: impl FnOnce() -> bool,
    ) -> Result<Admission, Hold> {
        let confirmed = self.confirm(now, in_flight);
        if let Some((belief, until)) = self.health.back_off(now) {
            return Err(match confirmed {
                Err(hold) if hold.until.is_none_or(|end| end >= until) => hold,
                _ => Hold { belief, cause: HoldCause::BackOff, until: Some(until) },
            });
        }
        let admission = confirmed?;
        match self.cold.filter(|cold| now < cold.until) {
            Some(ColdLimit { belief, until }) if !has_quota() => {
                Err(Hold { belief, cause: HoldCause::Cold, until: Some(until) })
            }
            _ => Ok(admission),
        }
    }

    /// Confirms that a request that was admitted earlier may still be sent, given this VM's other
    /// requests in flight at the target. It has a connection, so a backoff doesn't matter.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it must not be sent.
    ///
    /// ```
    /// use steer::{HoldCause, TargetAccess};
    /// let now = tokio::time::Instant::now();
    /// let mut access = TargetAccess::default();
    /// access.record_lost(now);
    /// assert!(access.confirm(now, 0).is_ok());
    /// access.record_leaving(now);
    /// assert_eq!(access.confirm(now, 0).unwrap_err().cause, HoldCause::Leaving);
    /// ```
    pub fn confirm(&self, now: Instant, in_flight: u32) -> Result<Admission, Hold> {
        let life = match &self.life {
            AnyLife::Accepting(life) => life,
            AnyLife::Departing(life) => return Err(life.hold()),
        };
        let endless = |belief, cause| Hold { belief, cause, until: None };
        if let Some(belief) = self.withdrawn {
            return Err(endless(belief, HoldCause::Leaving));
        }
        if let Some(belief) = self.misdirected {
            return Err(endless(belief, HoldCause::Misdirected));
        }
        life.admit(now, in_flight)
    }

    /// Returns the moving average of the failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.health.failure_rate()
    }

    /// Returns whether this holds anything that a new registration of the same incarnation doesn't
    /// end.
    pub(super) fn outlasts_registration(&self, now: Instant) -> bool {
        match &self.life {
            AnyLife::Accepting(life) => life.is_paused(now) || self.limit.is_some(),
            AnyLife::Departing(_) => true,
        }
    }

    /// Checks the limit that the target asked for, given this VM's part of it from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns when this VM may send the next request.
    pub fn check_limit(&self, now: Instant, share: f64) -> Result<(), Hold> {
        self.limit.and_then(|limit| limit.hold(now, share)).map_or(Ok(()), Err)
    }

    /// Returns the limit that the target asked for.
    pub fn limit(&self) -> Option<&RequestedLimit> {
        self.limit.as_ref()
    }

    /// Counts an admitted request against the limit.
    pub fn take_limit(&mut self, now: Instant, share: f64) {
        if let Some(limit) = &mut self.limit {
            limit.take(now, share);
        }
    }

    /// Sets when a response to another VM named the limit.
    pub fn confirm_limit(&mut self, at: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.confirm(at);
        }
    }

    /// Takes back the count of a request that was placed at `placed` and not sent.
    pub fn put_back_limit(&mut self, placed: Instant) {
        if let Some(limit) = self.limit.as_mut().filter(|limit| limit.belief().since <= placed) {
            limit.put_back();
        }
    }

    /// Records what a response says about a limit; `phase` from 0 to 1 differs between the VMs, and
    /// `share` is this VM's part. Returns whether a limit begins or ends.
    ///
    /// ```
    /// use steer::{LimitNotice, TargetAccess};
    /// let now = tokio::time::Instant::now();
    /// let mut access = TargetAccess::default();
    /// assert!(access.record_limit(now, LimitNotice::PerSecond(4.0), 1.0, 0.5));
    /// assert!(access.check_limit(now, 0.5).is_err());
    /// assert!(access.record_limit(now, LimitNotice::Absent, 1.0, 0.5));
    /// assert!(access.check_limit(now, 0.5).is_ok());
    /// ```
    pub fn record_limit(
        &mut self,
        now: Instant,
        notice: LimitNotice,
        phase: f64,
        share: f64,
    ) -> bool {
        match (notice, &mut self.limit) {
            (LimitNotice::PerSecond(rate), Some(limit)) => {
                limit.confirm(now);
                limit.set_rate(now, share, rate);
            }
            (LimitNotice::PerSecond(rate), limit) => {
                let belief = Belief::new(BeliefSource::Response, now);
                *limit = Some(RequestedLimit::new(belief, rate, phase));
                return true;
            }
            (LimitNotice::Absent, limit) => return limit.take().is_some(),
            (LimitNotice::Unclear, _) => {}
        }
        false
    }

    /// Applies a registration, which shows that the target has the address.
    pub fn record_registration(&mut self, now: Instant, leaving: bool) {
        self.misdirected = None;
        self.withdrawn = match self.withdrawn {
            Some(belief) if leaving => Some(belief),
            _ => leaving.then(|| Belief::new(BeliefSource::Registration, now)),
        };
    }

    /// Limits new work for `time`, as after a start; never shortens an earlier limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{BeliefSource, TargetAccess};
    /// let now = tokio::time::Instant::now();
    /// let mut access = TargetAccess::default();
    /// access.record_cold(BeliefSource::Registration, now, Duration::from_secs(3));
    /// access.record_cold(BeliefSource::Connection, now, Duration::from_secs(1));
    /// assert!(access.admit(now + Duration::from_secs(2), 0, || false).is_err());
    /// ```
    pub fn record_cold(&mut self, source: BeliefSource, now: Instant, time: Duration) {
        let until = now + time.min(Self::LONGEST_COLD);
        if time > Duration::ZERO && self.cold.is_none_or(|cold| cold.until < until) {
            self.cold = Some(ColdLimit { belief: Belief::new(source, now), until });
        }
    }

    /// Records that the target says that it leaves; returns whether that is news.
    pub fn record_leaving(&mut self, now: Instant) -> bool {
        let AnyLife::Accepting(life) = &self.life else { return false };
        let life = life.clone().depart(Belief::new(BeliefSource::Response, now));
        self.life = AnyLife::Departing(life);
        true
    }

    /// Records a connection that could not be established or was lost.
    pub fn record_lost(&mut self, now: Instant) {
        self.health.record_lost(now);
    }

    /// Records that a different target responds at the address.
    pub fn record_misdirected(&mut self, now: Instant) {
        self.misdirected = Some(Belief::new(BeliefSource::Response, now));
    }

    /// Records that the target asked for a pause; `jitter` from 0 to 1 delays its end, and differs
    /// between the VMs. Returns the length of the pause if one starts.
    pub fn record_pause(
        &mut self,
        now: Instant,
        request: PauseRequest,
        jitter: f64,
    ) -> Option<Duration> {
        let AnyLife::Accepting(life) = &mut self.life else { return None };
        let time = match request {
            PauseRequest::For(time) if time.is_zero() => return None,
            PauseRequest::For(time) if time <= RequestedPause::LONGEST => time,
            PauseRequest::For(_) | PauseRequest::Unclear => {
                return self.health.record_refused(now);
            }
        };
        let spread = time.mul_f64(RequestedPause::SPREAD).min(RequestedPause::LONGEST_SPREAD);
        let time = time + spread.mul_f64(jitter);
        life.pause(Belief::new(BeliefSource::Response, now), time).then_some(time)
    }

    /// Records a response and whether it was a failure.
    pub fn record_response(&mut self, failed: bool) {
        self.health.record_answer(failed);
    }

    /// Records that the target ran a request, which lets more requests follow after a pause.
    pub fn record_run(&mut self, now: Instant) {
        if let AnyLife::Accepting(life) = &mut self.life {
            life.record_run(now);
        }
    }

    /// Returns the pause from which the target returns with the next request, once.
    pub(super) fn take_return(&mut self, now: Instant) -> Option<Belief> {
        match &mut self.life {
            AnyLife::Accepting(life) => life.take_return(now),
            AnyLife::Departing(_) => None,
        }
    }
}
