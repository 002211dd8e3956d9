//! Limits a team's document to the bounds that the fleet's document sets.

use super::{
    Findings, FleetDocument, ServiceSettings, TeamBounds, TeamDocument, ValuePath, suggest_name,
};
use crate::{AvailabilityZoneName, RegionName, ServiceName, TargetName, TeamName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The team that owns each address, host and target. Another team's claim on it is refused.
#[derive(Debug, Default)]
pub(super) struct ResourceOwners {
    addresses: BTreeMap<SocketAddr, TeamName>,
    hosts: BTreeMap<String, TeamName>,
    targets: BTreeMap<TargetName, TeamName>,
}

impl ResourceOwners {
    /// Records the addresses, hosts and targets of a team's services.
    pub(super) fn add(&mut self, team: &TeamName, document: &TeamDocument) {
        for service in document.services.values() {
            for host in &service.hosts {
                self.hosts.insert(host.clone(), team.clone());
            }
            for (name, target) in &service.targets {
                self.addresses.insert(target.address, team.clone());
                self.targets.insert(name.clone(), team.clone());
            }
        }
    }
}

/// The bounds of one team's document.
#[derive(Debug)]
pub(super) struct Bounds<'a> {
    fleet: &'a FleetDocument,
    team_bounds: Option<&'a TeamBounds>,
    team: &'a TeamName,
    zones: BTreeSet<&'a AvailabilityZoneName>,
}

impl<'a> Bounds<'a> {
    /// Reads a team's bounds from the fleet's document.
    pub(super) fn new(fleet: &'a FleetDocument, team: &'a TeamName) -> Self {
        let zones = fleet.regions.values().flat_map(|r| &r.zones).collect();
        Self { fleet, team_bounds: fleet.teams.get(team), team, zones }
    }

    /// Returns the part of a document that the bounds allow, and reports the rest as findings.
    pub(super) fn limit(
        &self,
        document: &TeamDocument,
        owners: &ResourceOwners,
        findings: &mut Findings,
    ) -> TeamDocument {
        if *document == TeamDocument::default() {
            // A deleted subtree leaves an empty document, which is valid without a team.
            return TeamDocument::default();
        }
        let Some(bounds) = self.team_bounds else {
            let known = self.fleet.teams.keys().map(TeamName::as_str);
            let near = suggest_name(self.team.as_str(), known);
            findings
                .add(&ValuePath::root(), format!("the fleet has no team `{}`; {near}", self.team));
            return TeamDocument::default();
        };
        let mut limited = document.clone();
        limited.services.retain(|name, service| {
            let path = ValuePath::root().key("services").key(name.as_str());
            self.is_granted(bounds, name, &path, findings) && {
                self.limit_service(service, owners, &path, findings);
                true
            }
        });
        self.limit_shifts(bounds, &mut limited, findings);
        limited
    }

    fn is_granted(
        &self,
        bounds: &TeamBounds,
        name: &ServiceName,
        path: &ValuePath,
        findings: &mut Findings,
    ) -> bool {
        let granted = bounds.services.contains(name);
        findings.expect(granted, path, || {
            let names: Vec<String> = bounds.services.iter().map(|s| format!("`{s}`")).collect();
            let allowed = if names.is_empty() { "none".to_owned() } else { names.join(", ") };
            format!("the fleet doesn't give service `{name}` to this team; allowed: {allowed}")
        });
        granted
    }

    fn limit_service(
        &self,
        service: &mut ServiceSettings,
        owners: &ResourceOwners,
        path: &ValuePath,
        findings: &mut Findings,
    ) {
        let mut index = 0;
        service.hosts.retain(|host| {
            let here = path.key("hosts").index(index);
            index += 1;
            self.is_unclaimed(owners.hosts.get(host), "host", host, &here, findings)
        });
        service.targets.retain(|name, target| {
            let here = path.key("targets").key(name.as_str());
            let zone = here.key("zone");
            findings.expect_known("availability zone", &target.zone, &self.zones, &zone);
            let address = target.address.to_string();
            let by_address = owners.addresses.get(&target.address);
            self.zones.contains(&target.zone)
                & self.is_unclaimed(
                    owners.targets.get(name),
                    "target",
                    name.as_str(),
                    &here,
                    findings,
                )
                & self.is_unclaimed(by_address, "address", &address, &here.key("address"), findings)
        });
        let shares = path.key("shares");
        service.shares.retain(|home, _| self.is_region(home, &shares.key(home.as_str()), findings));
        for (home, parts) in &mut service.shares {
            let here = shares.key(home.as_str());
            parts.retain(|region, _| self.is_region(region, &here.key(region.as_str()), findings));
        }
    }

    /// Removes shifts of services or regions that don't exist, and lowers caps to the bound.
    fn limit_shifts(
        &self,
        bounds: &TeamBounds,
        limited: &mut TeamDocument,
        findings: &mut Findings,
    ) {
        let TeamDocument { services, shifts, .. } = limited;
        let mut index = 0;
        shifts.retain_mut(|shift| {
            let path = ValuePath::root().key("shifts").index(index);
            index += 1;
            findings.expect(shift.cap <= bounds.max_shift, &path.key("cap"), || {
                let (cap, max) = (shift.cap, bounds.max_shift);
                format!("{cap} is above the team's bound of {max} requests a second")
            });
            shift.cap = shift.cap.min(bounds.max_shift);
            services.contains_key(&shift.service)
                & self.is_region(&shift.from, &path.key("from"), findings)
                & self.is_region(&shift.to, &path.key("to"), findings)
        });
    }

    fn is_region(&self, region: &RegionName, path: &ValuePath, findings: &mut Findings) -> bool {
        findings.expect_known("region", region, self.fleet.regions.keys(), path);
        self.fleet.regions.contains_key(region)
    }

    fn is_unclaimed(
        &self,
        owner: Option<&TeamName>,
        what: &str,
        name: &str,
        path: &ValuePath,
        findings: &mut Findings,
    ) -> bool {
        let other = owner.filter(|team| *team != self.team);
        if let Some(team) = other {
            findings.add(path, format!("{what} `{name}` already belongs to team `{team}`"));
        }
        other.is_none()
    }
}
