//! This VM's state for a target.

use super::{
    Admission, Belief, BeliefSource, CachedObjects, Distance, Hold, HoldCause, PlacementQuery,
    RequestedLimit, SendWindow, TargetAccess, TargetLoad, TargetRecord,
};
use crate::{AvailabilityZoneName, RegionName};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// A target with its load and what this VM believes of it.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) access: TargetAccess,
    pub(super) distance: Distance,
    pub(super) load: TargetLoad,
    pub(super) record: TargetRecord,
    pub(super) region: RegionName,
    pub(super) sends: SendWindow,
    pub(super) cached: CachedObjects,
}

impl TargetState {
    pub(super) fn new(record: TargetRecord, region: RegionName, distance: Distance) -> Self {
        Self {
            access: TargetAccess::default(),
            distance,
            load: TargetLoad::default(),
            record,
            region,
            sends: SendWindow::default(),
            cached: CachedObjects::default(),
        }
    }

    /// Returns whether the request itself permits this target.
    pub(super) fn matches(&self, query: &PlacementQuery) -> bool {
        !query.excluded.contains(&self.record.name)
            && (query.homes.is_empty() || query.homes.contains(&self.region))
    }

    /// Decides whether the target may get a request now: the only place that does.
    pub(super) fn admit(
        &self,
        now: Instant,
        evacuated: &BTreeMap<AvailabilityZoneName, Instant>,
        share: f64,
        quota: impl FnOnce() -> u32,
    ) -> Result<Admission, Hold> {
        self.check_zone(evacuated)?;
        let admission =
            self.access.admit(now, self.load.own(), || self.sends.has_room(now, quota()))?;
        self.access.check_limit(now, share)?;
        Ok(admission)
    }

    /// Confirms that a request that was counted at `placed` may still be sent.
    pub(super) fn confirm(
        &self,
        now: Instant,
        placed: Instant,
        evacuated: &BTreeMap<AvailabilityZoneName, Instant>,
    ) -> Result<Admission, Hold> {
        self.check_zone(evacuated)?;
        // The request has no token of a limit that began after it was placed.
        if let Some(belief) = self.access.limit().map(RequestedLimit::belief)
            && placed < belief.since
        {
            return Err(Hold { belief, cause: HoldCause::Limited, until: None });
        }
        self.access.confirm(now, self.load.own().saturating_sub(1))
    }

    fn check_zone(&self, evacuated: &BTreeMap<AvailabilityZoneName, Instant>) -> Result<(), Hold> {
        let Some(since) = evacuated.get(&self.record.zone) else { return Ok(()) };
        let belief = Belief::new(BeliefSource::Evacuation, *since);
        Err(Hold { belief, cause: HoldCause::Evacuated, until: None })
    }

    /// Counts an admitted request.
    pub(super) fn begin(&mut self, _admission: Admission, now: Instant, share: f64) {
        self.access.take_limit(now, share);
        self.load.begin();
        self.sends.record(now);
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
