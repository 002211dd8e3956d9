//! Reports of delegates about the live VMs of an availability zone.

use crate::{AvailabilityZoneName, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// The live VMs of an availability zone, as one VM reports them to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneReport {
    /// Time since the VMs were observed.
    pub age: Duration,
    /// Hash of the names.
    pub digest: u64,
    /// The VMs; `None` if the receiver has got the same names before.
    pub live: Option<Arc<BTreeSet<VmName>>>,
    /// The availability zone.
    pub zone: AvailabilityZoneName,
}

impl ZoneReport {
    /// Creates a report of VMs that are live now.
    ///
    /// ```
    /// let report = steer::ZoneReport::new("lis-a".into(), [steer::VmName::from("entry-1")].into());
    /// assert!(report.age.is_zero());
    /// ```
    pub fn new(zone: AvailabilityZoneName, live: BTreeSet<VmName>) -> Self {
        let mut hash = Xxh3::new();
        for name in &live {
            hash.update(name.as_str().as_bytes());
            hash.update(b"\n");
        }
        Self { age: Duration::ZERO, digest: hash.digest(), live: Some(Arc::new(live)), zone }
    }
}

/// A report that this VM holds.
#[derive(Clone, Debug)]
struct HeldReport {
    digest: u64,
    live: Arc<BTreeSet<VmName>>,
    observed_at: Instant,
}

/// The latest report of each delegate about each availability zone.
///
/// ```
/// use steer::{ZoneReport, ZoneReports};
/// use tokio::time::Instant;
/// let (mut reports, now) = (ZoneReports::default(), Instant::now());
/// let report = ZoneReport::new("lis-a".into(), ["entry-1".into()].into());
/// let digest = ZoneReport { live: None, ..report.clone() };
/// assert!(!reports.record(&"entry-2".into(), digest.clone(), now));
/// assert!(reports.record(&"entry-2".into(), report, now));
/// assert!(reports.record(&"entry-2".into(), digest, now));
/// let latest = now - ZoneReports::LIFETIME / 2;
/// assert!(reports.contains(&"lis-a".into(), &"entry-1".into(), now, Some(latest)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ZoneReports {
    zones: BTreeMap<AvailabilityZoneName, BTreeMap<VmName, HeldReport>>,
}

impl ZoneReports {
    /// Time for which a report is valid: two intervals of hellos between regions.
    pub const LIFETIME: Duration = Duration::from_secs(4);
    /// Maximum number of delegates whose reports about a zone are kept.
    const MAX_REPORTERS: usize = 16;

    /// Records a report. Returns `false` if it lacks names that this VM doesn't have.
    pub fn record(&mut self, reporter: &VmName, report: ZoneReport, now: Instant) -> bool {
        let reporters = self.zones.entry(report.zone).or_default();
        reporters.retain(|_, held| now.duration_since(held.observed_at) < Self::LIFETIME);
        let observed_at = now.checked_sub(report.age).unwrap_or(now);
        if let Some(live) = report.live {
            if reporters.len() >= Self::MAX_REPORTERS && !reporters.contains_key(reporter) {
                return true;
            }
            let held = HeldReport { digest: report.digest, live, observed_at };
            reporters.insert(reporter.clone(), held);
            return true;
        }
        let same = reporters.values().find(|held| held.digest == report.digest);
        let Some(live) = same.map(|held| Arc::clone(&held.live)) else { return false };
        reporters.insert(reporter.clone(), HeldReport { digest: report.digest, live, observed_at });
        true
    }

    /// Returns whether a valid report names a VM; with `after`, only one that was observed later.
    pub fn contains(
        &self,
        zone: &AvailabilityZoneName,
        name: &VmName,
        now: Instant,
        after: Option<Instant>,
    ) -> bool {
        let Some(reporters) = self.zones.get(zone) else { return false };
        let valid = reporters.values().filter(|held| {
            let is_valid = now.duration_since(held.observed_at) < Self::LIFETIME;
            is_valid && after.is_none_or(|after| held.observed_at > after)
        });
        valid.into_iter().any(|held| held.live.contains(name))
    }

    /// Returns the latest valid report about a zone.
    pub fn latest(&self, zone: &AvailabilityZoneName, now: Instant) -> Option<ZoneReport> {
        let held = self.zones.get(zone)?.values().max_by_key(|held| held.observed_at)?;
        let age = now.duration_since(held.observed_at);
        let live = Some(Arc::clone(&held.live));
        let zone = zone.clone();
        (age < Self::LIFETIME).then_some(ZoneReport { age, digest: held.digest, live, zone })
    }
}
