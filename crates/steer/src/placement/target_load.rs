//! Estimate of a target's load from own requests and its last report.

use super::LoadSample;
use std::time::Duration;
use tokio::time::Instant;

/// Own requests under way, and what the last answer said of those of other VMs.
///
/// ```
/// use steer::{LoadSample, TargetLoad};
/// use tokio::time::Instant;
/// let (mut load, now) = (TargetLoad::default(), Instant::now());
/// load.begin();
/// load.begin();
/// load.report(now, LoadSample { running: 3, slots: 6, slowness: 1.0, waiting: 1 });
/// assert_eq!(load.requests(now), 4.0);
/// load.end();
/// assert_eq!(load.requests(now), 3.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    last: Option<(Instant, LoadSample, u32)>,
    own: u32,
}

impl TargetLoad {
    /// Time in which a report loses two thirds of its weight; about twice the usual work.
    const FADE: Duration = Duration::from_secs(2);

    /// Notes that a request is sent.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Notes that a request has ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Own requests under way.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Takes a report.
    pub fn report(&mut self, now: Instant, sample: LoadSample) {
        self.last = Some((now, sample, self.own));
    }

    fn weight(&self, at: Instant, now: Instant) -> f64 {
        (-now.duration_since(at).as_secs_f64() / Self::FADE.as_secs_f64()).exp()
    }

    /// Requests that run or wait at the target, own and others'.
    pub fn requests(&self, now: Instant) -> f64 {
        let others = self.last.map_or(0.0, |(at, sample, own)| {
            let others = (sample.running + sample.waiting).saturating_sub(own);
            f64::from(others) * self.weight(at, now)
        });
        f64::from(self.own) + others
    }

    /// How long work takes at the target, 1 as usual; an old report counts less.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.last
            .map_or(1.0, |(at, sample, _)| 1.0 + (sample.slowness - 1.0) * self.weight(at, now))
    }
}
