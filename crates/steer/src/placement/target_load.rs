//! Load estimate of a target from this VM's requests and the target's last report.

use super::LoadSample;
use std::time::Duration;
use tokio::time::Instant;

/// Requests that this VM has in flight at a target, and the load that the target last reported.
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
    /// Time and content of the last report, and this VM's requests in flight when it arrived.
    last: Option<(Instant, LoadSample, u32)>,
    own: u32,
}

impl TargetLoad {
    /// Time constant of the exponential decay of a report's weight; about twice the mean work time.
    const DECAY_TIME: Duration = Duration::from_secs(2);

    /// Records the start of a request.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Records the end of a request.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns the number of this VM's requests in flight.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Records a load report of the target.
    pub fn report(&mut self, now: Instant, sample: LoadSample) {
        self.last = Some((now, sample, self.own));
    }

    fn weight(&self, at: Instant, now: Instant) -> f64 {
        (-now.duration_since(at).as_secs_f64() / Self::DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the estimated number of requests running or queued at the target, from all VMs.
    pub fn requests(&self, now: Instant) -> f64 {
        let others = self.last.map_or(0.0, |(at, sample, own)| {
            let others = (sample.running + sample.waiting).saturating_sub(own);
            f64::from(others) * self.weight(at, now)
        });
        f64::from(self.own) + others
    }

    /// Returns the work time at the target relative to the usual one, which is 1. The weight of a
    /// report decays with its age.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.last
            .map_or(1.0, |(at, sample, _)| 1.0 + (sample.slowness - 1.0) * self.weight(at, now))
    }
}
