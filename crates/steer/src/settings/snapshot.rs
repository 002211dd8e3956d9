//! The settings in force, merged and indexed for routing decisions.

use super::{
    ClassSettings, DrainSettings, FleetDocument, Maintenance, RegionSettings, ServiceSettings,
    ShiftSettings, TeamDocument,
};
use crate::{AvailabilityZoneName, ClassName, RegionName, ServiceName, TargetName, TeamName};
use jiff::Timestamp;
use std::{collections::BTreeMap, sync::Arc};

/// A service with the team that owns it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Its settings.
    pub settings: ServiceSettings,
    /// Team that owns it.
    pub team: TeamName,
}

impl Service {
    /// Finds the class of a request: the one whose rule has the longest matching path. Of equal
    /// paths, a rule that lists methods takes precedence.
    pub fn classify(&self, method: &str, path: &str) -> Option<(&ClassName, &ClassSettings)> {
        self.settings
            .classes
            .iter()
            .flat_map(|(name, class)| class.matches.iter().map(move |rule| (name, class, rule)))
            .filter(|(_, _, rule)| rule.matches(method, path))
            .max_by_key(|(_, _, rule)| (rule.path.len(), !rule.methods.is_empty()))
            .map(|(name, class, _)| (name, class))
    }
}

/// The settings in force, merged from all documents and indexed for routing decisions.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    digest: u64,
    drains: Vec<DrainSettings>,
    fleet: Option<Arc<FleetDocument>>,
    hosts: BTreeMap<String, ServiceName>,
    maintenance: Vec<Maintenance>,
    zone_regions: BTreeMap<AvailabilityZoneName, RegionName>,
    services: BTreeMap<ServiceName, Arc<Service>>,
    shifts: Vec<ShiftSettings>,
}

impl Snapshot {
    /// Creates a snapshot with the settings of the fleet and of no team.
    pub fn new(fleet: Arc<FleetDocument>, digest: u64) -> Self {
        let mut zone_regions = BTreeMap::new();
        for (region, settings) in &fleet.regions {
            for zone in &settings.zones {
                zone_regions.insert(zone.clone(), region.clone());
            }
        }
        Self {
            digest,
            drains: fleet.drains.iter().cloned().collect(),
            maintenance: fleet.maintenance.clone(),
            fleet: Some(fleet),
            zone_regions,
            ..Self::default()
        }
    }

    /// Adds the settings of a team.
    pub fn add_team(&mut self, team: &TeamName, document: &TeamDocument) {
        for (name, settings) in &document.services {
            for host in &settings.hosts {
                self.hosts.insert(host.clone(), name.clone());
            }
            let service =
                Service { name: name.clone(), settings: settings.clone(), team: team.clone() };
            self.services.insert(name.clone(), Arc::new(service));
        }
        self.drains.extend(document.drains.iter().cloned());
        self.maintenance.extend(document.maintenance.iter().cloned());
        self.shifts.extend(document.shifts.iter().cloned());
    }

    /// Returns the digest of the settings tree that the snapshot was built from.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the fleet's document; `None` until the first settings arrive.
    pub fn fleet(&self) -> Option<&FleetDocument> {
        self.fleet.as_deref()
    }

    /// Returns the drains active at the given time, including those of open maintenance windows.
    pub fn drains(&self, now: Timestamp) -> impl Iterator<Item = &DrainSettings> {
        let open = self.maintenance.iter().filter(move |m| m.is_open(now)).map(|m| &m.drain);
        self.drains.iter().chain(open)
    }

    /// Returns all maintenance windows, open or not.
    pub fn maintenance(&self) -> &[Maintenance] {
        &self.maintenance
    }

    /// Returns whether a target is drained at the given time, itself or through its zone or region.
    pub fn is_drained(
        &self,
        target: &TargetName,
        zone: &AvailabilityZoneName,
        now: Timestamp,
    ) -> bool {
        self.drains(now).any(|drain| match drain {
            DrainSettings::EntryVm(_) => false,
            DrainSettings::Region(region) => self.region_of(zone) == Some(region),
            DrainSettings::Target(name) => name == target,
            DrainSettings::Zone(name) => name == zone,
        })
    }

    /// Returns the one-way delay between two availability zones in milliseconds; `None` if it isn't
    /// configured.
    pub fn delay_ms(&self, a: &AvailabilityZoneName, b: &AvailabilityZoneName) -> Option<f64> {
        if a == b {
            return Some(0.0);
        }
        let (from, to) = (self.region_of(a)?, self.region_of(b)?);
        if from == to {
            return self.region(from).map(|r| r.delay_ms);
        }
        self.region_delay_ms(from, to)
    }

    /// Returns the one-way delay of the link between two regions in milliseconds: 0 if they are the
    /// same region, `None` if no link is configured.
    pub fn region_delay_ms(&self, a: &RegionName, b: &RegionName) -> Option<f64> {
        if a == b {
            return Some(0.0);
        }
        self.fleet()?.links.iter().find(|link| link.connects(a, b)).map(|link| link.delay_ms)
    }

    /// Returns the region of an availability zone.
    pub fn region_of(&self, zone: &AvailabilityZoneName) -> Option<&RegionName> {
        self.zone_regions.get(zone)
    }

    /// Returns the settings of a region.
    pub fn region(&self, region: &RegionName) -> Option<&RegionSettings> {
        self.fleet()?.regions.get(region)
    }

    /// Returns the service that a host name belongs to.
    pub fn service_for_host(&self, host: &str) -> Option<&Arc<Service>> {
        self.services.get(self.hosts.get(host)?)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns all traffic shifts.
    pub fn shifts(&self) -> &[ShiftSettings] {
        &self.shifts
    }

    /// Returns all availability zones with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&AvailabilityZoneName, &RegionName)> {
        self.zone_regions.iter()
    }
}
