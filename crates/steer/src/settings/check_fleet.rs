//! Validates the fleet's document on its own, without the teams' documents.

use super::{
    DrainSettings, Findings, FleetDocument, ValuePath,
    check_common::{check_name, check_range, check_windows, each_drain},
};
use crate::{AvailabilityZoneName, RegionName, ServiceName, TeamName};
use std::collections::BTreeMap;

/// Maximum one-way delay of a link or inside a region.
const MAX_DELAY_MS: f64 = 10_000.0;

/// Validates the fleet's document on its own.
pub(super) fn check_fleet(document: &FleetDocument) -> Findings {
    let mut findings = Findings::default();
    check_name("fleet", &document.fleet, &ValuePath::root().key("fleet"), &mut findings);
    check_regions(document, &mut findings);
    check_blocks(document, &mut findings);
    check_links(document, &mut findings);
    check_members(document, &mut findings);
    check_teams(document, &mut findings);
    check_drains(document, &mut findings);
    check_windows(&document.maintenance, &mut findings);
    findings
}

fn check_regions(document: &FleetDocument, findings: &mut Findings) {
    let mut owners: BTreeMap<&AvailabilityZoneName, &RegionName> = BTreeMap::new();
    for (region, settings) in &document.regions {
        let path = ValuePath::root().key("regions").key(region.as_str());
        check_name("region", region, &path, findings);
        check_range(settings.delay_ms, MAX_DELAY_MS, false, &path.key("delay_ms"), findings);
        let zones = path.key("zones");
        findings.expect(!settings.zones.is_empty(), &zones, || {
            "is empty; a region has at least one availability zone".to_owned()
        });
        for zone in &settings.zones {
            let here = zones.item(zone.as_str());
            check_name("availability zone", zone, &here, findings);
            if let Some(other) = owners.insert(zone, region) {
                findings
                    .add(&here, format!("`{zone}` is an availability zone of `{other}` already"));
            }
        }
    }
}

fn check_blocks(document: &FleetDocument, findings: &mut Findings) {
    for (block, region) in &document.blocks {
        let path = ValuePath::root().key("blocks").key(block.to_string());
        let network = block.network().trunc();
        findings.expect(network == block.network(), &path, || {
            format!("`{block}` has bits set beyond its prefix; write `{network}`")
        });
        findings.expect_known("region", region, document.regions.keys(), &path);
    }
}

fn check_links(document: &FleetDocument, findings: &mut Findings) {
    let list = ValuePath::root().key("links");
    for (i, link) in document.links.iter().enumerate() {
        let (path, [a, b]) = (list.index(i), &link.between);
        for (j, region) in link.between.iter().enumerate() {
            let here = path.key("between").index(j);
            findings.expect_known("region", region, document.regions.keys(), &here);
        }
        findings.expect(a != b, &path.key("between"), || {
            format!("connects `{a}` to itself; expected two different regions")
        });
        findings.expect(!document.links[..i].iter().any(|l| l.connects(a, b)), &path, || {
            format!("duplicate link between `{a}` and `{b}`; keep one")
        });
        findings.expect(link.cap_mbit > 0, &path.key("cap_mbit"), || {
            "is 0; expected 1 or more megabits a second".to_owned()
        });
        check_range(link.delay_ms, MAX_DELAY_MS, false, &path.key("delay_ms"), findings);
    }
}

fn check_members(document: &FleetDocument, findings: &mut Findings) {
    for (member, settings) in &document.members {
        let path = ValuePath::root().key("members").key(member.as_str());
        check_name("member", member, &path, findings);
        findings.expect(settings.weight > 0, &path.key("weight"), || {
            "is 0; expected 1 or more".to_owned()
        });
    }
}

fn check_teams(document: &FleetDocument, findings: &mut Findings) {
    let mut owners: BTreeMap<&ServiceName, &TeamName> = BTreeMap::new();
    for (team, bounds) in &document.teams {
        let path = ValuePath::root().key("teams").key(team.as_str());
        check_name("team", team, &path, findings);
        for service in &bounds.services {
            let here = path.key("services").item(service.as_str());
            check_name("service", service, &here, findings);
            if let Some(other) = owners.insert(service, team) {
                findings.add(&here, format!("`{service}` already belongs to team `{other}`"));
            }
        }
    }
}

fn check_drains(document: &FleetDocument, findings: &mut Findings) {
    for (path, drain) in each_drain(&document.drains, &document.maintenance) {
        match drain {
            DrainSettings::EntryVm(vm) => check_name("entry VM", vm, &path, findings),
            DrainSettings::Region(region) => {
                findings.expect_known("region", region, document.regions.keys(), &path);
            }
            DrainSettings::Target(target) => check_name("target", target, &path, findings),
            DrainSettings::Zone(zone) => {
                let known = document.regions.values().flat_map(|r| &r.zones);
                findings.expect_known("availability zone", zone, known, &path);
            }
        }
    }
}
