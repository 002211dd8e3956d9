//! The order in which availability zones are tried.

use crate::{AvailabilityZoneName, Service, Snapshot};
use jiff::Timestamp;
use std::collections::BTreeSet;

/// Returns the zones that have targets in service, nearest first.
pub fn order_zones(
    snapshot: &Snapshot,
    service: &Service,
    home: &AvailabilityZoneName,
    now: Timestamp,
) -> Vec<AvailabilityZoneName> {
    let serving: BTreeSet<&AvailabilityZoneName> = service
        .settings
        .targets
        .iter()
        .filter(|(name, target)| !snapshot.is_drained(name, &target.zone, now))
        .map(|(_, target)| &target.zone)
        .collect();
    let mut zones: Vec<AvailabilityZoneName> = serving.into_iter().cloned().collect();
    let delay = |zone: &AvailabilityZoneName| snapshot.delay_ms(home, zone).unwrap_or(f64::MAX);
    zones.sort_by(|a, b| delay(a).total_cmp(&delay(b)));
    zones
}
