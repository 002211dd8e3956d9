//! A limit on requests that a target asks of the whole fleet, and this VM's part of it.

use super::{Belief, Hold, HoldCause};
use std::time::Duration;
use tokio::time::Instant;

/// What a response says about the rate of requests that its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Absent,
    /// Requests a second from all VMs together.
    PerSecond(f64),
    /// It names a limit that can't be used.
    Unclear,
}

/// A limit that a target asked for: a token bucket whose rate is this VM's part of the limit.
///
/// A VM sends a request only with a whole token. The bucket is small, so that the VMs together stay
/// near the limit over a few seconds even if they all send at once.
///
/// ```
/// use std::time::Duration;
/// use steer::{Belief, BeliefSource, RequestedLimit};
/// let now = tokio::time::Instant::now();
/// let belief = Belief::new(BeliefSource::Response, now);
/// // 4 requests a second, half of them from this VM.
/// let mut limit = RequestedLimit::new(belief, 4.0, 1.0);
/// assert!(limit.hold(now, 0.5).is_some());
/// let later = now + Duration::from_millis(501);
/// assert!(limit.hold(later, 0.5).is_none());
/// limit.take(later, 0.5);
/// assert!(limit.hold(later, 0.5).is_some());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestedLimit {
    belief: Belief,
    /// When a response to any VM last named the limit, as far as this VM knows.
    confirmed: Instant,
    /// Part of the time between two requests by which this VM's requests are shifted against those of
    /// others.
    phase: f64,
    /// Requests a second from all VMs together.
    rate: f64,
    tokens: f64,
    updated: Instant,
}

impl RequestedLimit {
    /// Lowest rate that is applied. Some requests must go on even to a target that wants none, as only
    /// its responses tell when the limit ends.
    pub const MIN_RATE: f64 = 0.2;
    /// Time of the fleet's rate that the buckets of all VMs hold together.
    const BURST_TIME: Duration = Duration::from_millis(1_500);
    /// Requests that the buckets of all VMs hold together besides, for targets with low limits.
    const BURST_REQUESTS: f64 = 4.0;
    /// Change of the rate below which the phase is applied again.
    const LARGE_FALL: f64 = 0.8;
    /// Longest time after which a held request may try again: the part of this VM may grow.
    const LONGEST_HOLD: Duration = Duration::from_secs(5);

    /// Creates a limit of `rate` requests a second for the fleet; `phase` from 0 to 1 delays the first
    /// request of this VM, so that the VMs don't all send at once.
    pub fn new(belief: Belief, rate: f64, phase: f64) -> Self {
        let rate = rate.max(Self::MIN_RATE);
        let since = belief.since;
        Self { belief, confirmed: since, phase, rate, tokens: 1.0 - phase, updated: since }
    }

    /// Returns the requests a second for the fleet.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the belief that the limit is based on.
    pub fn belief(&self) -> Belief {
        self.belief
    }

    /// Returns when a response to any VM last named the limit, as far as this VM knows.
    pub fn confirmed(&self) -> Instant {
        self.confirmed
    }

    /// Sets when a response named the limit.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = at;
    }

    /// Changes the requests a second for the fleet; this VM's part is `share`.
    pub fn set_rate(&mut self, now: Instant, share: f64, rate: f64) {
        self.settle(now, share);
        let rate = rate.max(Self::MIN_RATE);
        let fell = rate < self.rate * Self::LARGE_FALL;
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity(share));
        // All VMs learn of a lower rate just after a request each, so their next requests would
        // coincide one interval later.
        if fell {
            self.tokens = 1.0 - self.phase;
        }
    }

    /// Returns why a request is held, if it is; this VM's part of the limit is `share`, from 0 to 1.
    pub fn hold(&self, now: Instant, share: f64) -> Option<Hold> {
        // Rounding must not hold a request at the very end of its wait.
        const ROUNDING: f64 = 1e-6;
        let missing = 1.0 - self.tokens_at(now, share);
        if missing <= ROUNDING {
            return None;
        }
        let wait = Duration::try_from_secs_f64(missing / (self.rate * share));
        let wait = wait.map_or(Self::LONGEST_HOLD, |wait| wait.min(Self::LONGEST_HOLD));
        Some(Hold { belief: self.belief, cause: HoldCause::Limited, until: Some(now + wait) })
    }

    /// Takes the token of an admitted request.
    pub fn take(&mut self, now: Instant, share: f64) {
        self.settle(now, share);
        self.tokens -= 1.0;
    }

    /// Returns the token of a request that wasn't sent.
    pub fn put_back(&mut self) {
        self.tokens += 1.0;
    }

    fn capacity(&self, share: f64) -> f64 {
        let burst = self.rate * Self::BURST_TIME.as_secs_f64() + Self::BURST_REQUESTS;
        (burst * share).max(1.0)
    }

    fn tokens_at(&self, now: Instant, share: f64) -> f64 {
        let earned = now.duration_since(self.updated).as_secs_f64() * self.rate * share;
        (self.tokens + earned).min(self.capacity(share))
    }

    fn settle(&mut self, now: Instant, share: f64) {
        self.tokens = self.tokens_at(now, share);
        self.updated = now;
    }
}
