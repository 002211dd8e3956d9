//! Adoption of the targets of an availability zone that has lost all its entry VMs.

use crate::{AvailabilityZoneName, Snapshot};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Returns the nearest zone of the same region that has entry VMs. Ties in delay are broken by
/// name.
pub fn nearest_served_zone(
    snapshot: &Snapshot,
    zone: &AvailabilityZoneName,
    served: &BTreeSet<AvailabilityZoneName>,
) -> Option<AvailabilityZoneName> {
    let region = snapshot.region_of(zone)?;
    let delay = |other: &AvailabilityZoneName| snapshot.delay_ms(zone, other).unwrap_or(f64::MAX);
    served
        .iter()
        .filter(|other| *other != zone && snapshot.region_of(other) == Some(region))
        .min_by(|a, b| delay(a).total_cmp(&delay(b)).then_with(|| a.cmp(b)))
        .cloned()
}

/// Tracks since when zones have had no entry VM, so that a short gap doesn't move targets.
///
/// ```
/// use std::collections::BTreeSet;
/// use steer::OrphanTracker;
/// use tokio::time::{Duration, Instant};
/// let (mut tracker, start) = (OrphanTracker::new(), Instant::now());
/// let none = BTreeSet::new();
/// assert!(!tracker.is_orphan(&"lis-a".into(), &none, start));
/// assert!(tracker.is_orphan(&"lis-a".into(), &none, start + Duration::from_secs(4)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OrphanTracker {
    unserved_since: BTreeMap<AvailabilityZoneName, Instant>,
}

impl OrphanTracker {
    /// How long a zone must be without an entry VM before its targets are adopted.
    pub const ADOPTION_DELAY: Duration = Duration::from_secs(3);

    /// Creates a tracker without orphaned zones.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a zone has been without entry VMs long enough to be adopted.
    pub fn is_orphan(
        &mut self,
        zone: &AvailabilityZoneName,
        served: &BTreeSet<AvailabilityZoneName>,
        now: Instant,
    ) -> bool {
        if served.contains(zone) {
            self.unserved_since.remove(zone);
            return false;
        }
        let since = *self.unserved_since.entry(zone.clone()).or_insert(now);
        now.saturating_duration_since(since) >= Self::ADOPTION_DELAY
    }
}
