//! This VM's state for a target.

use super::{CachedObjects, Distance, SendWindow, TargetHealth, TargetLoad, TargetRecord};
use crate::RegionName;
use std::time::Duration;
use tokio::time::Instant;

/// A target with its load, health and limits.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) cold_until: Option<Instant>,
    pub(super) distance: Distance,
    pub(super) health: TargetHealth,
    pub(super) load: TargetLoad,
    /// A different target responded at its address.
    pub(super) misdirected: bool,
    pub(super) record: TargetRecord,
    pub(super) region: RegionName,
    pub(super) sends: SendWindow,
    pub(super) cached: CachedObjects,
}

impl TargetState {
    pub(super) fn new(record: TargetRecord, region: RegionName, distance: Distance) -> Self {
        Self {
            cold_until: None,
            distance,
            health: TargetHealth::default(),
            load: TargetLoad::default(),
            misdirected: false,
            record,
            region,
            sends: SendWindow::default(),
            cached: CachedObjects::default(),
        }
    }

    /// Limits new work for `time`, as after a start; never shortens an earlier limit.
    pub(super) fn mark_cold(&mut self, now: Instant, time: Duration) {
        let until = now + time;
        if time > Duration::ZERO && self.cold_until.is_none_or(|cold| cold < until) {
            self.cold_until = Some(until);
        }
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the requests at the target, one more included, divided by its slots; at least 1.
    pub(super) fn oversubscription(&self, now: Instant) -> f64 {
        ((self.load.requests(now) + 1.0) / f64::from(self.record.slots.max(1))).max(1.0)
    }

    /// Returns the estimated queueing delay of one more request in seconds, given a mean work time
    /// of `work` seconds.
    pub(super) fn wait(&self, now: Instant, work: f64) -> f64 {
        (self.oversubscription(now) - 1.0) * work * self.load.slowness(now)
    }
}
