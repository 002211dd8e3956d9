//! Checks of the fleet's document by itself.

use super::{
    DrainSettings, Findings, FleetDocument, Place,
    check_names::{check_name, check_range, check_windows, each_drain},
};
use crate::{AvailabilityZoneName, RegionName, ServiceName, TeamName};
use std::collections::BTreeMap;

/// Longest one-way delay in milliseconds.
const MAX_DELAY: f64 = 10_000.0;

/// Finds what is wrong with the fleet's document by itself.
pub(super) fn check_fleet(document: &FleetDocument) -> Findings {
    let mut found = Findings::default();
    check_name("fleet", &document.fleet, &Place::root().key("fleet"), &mut found);
    check_regions(document, &mut found);
    check_blocks(document, &mut found);
    check_links(document, &mut found);
    check_members(document, &mut found);
    check_teams(document, &mut found);
    check_drains(document, &mut found);
    check_windows(&document.maintenance, &mut found);
    found
}

fn check_regions(document: &FleetDocument, found: &mut Findings) {
    let mut owners: BTreeMap<&AvailabilityZoneName, &RegionName> = BTreeMap::new();
    for (region, settings) in &document.regions {
        let place = Place::root().key("regions").key(region.as_str());
        check_name("region", region, &place, found);
        check_range(settings.delay_ms, MAX_DELAY, false, &place.key("delay_ms"), found);
        let zones = place.key("zones");
        found.expect(!settings.zones.is_empty(), &zones, || {
            "is empty; a region has at least one availability zone".to_owned()
        });
        for zone in &settings.zones {
            let here = zones.item(zone.as_str());
            check_name("availability zone", zone, &here, found);
            if let Some(other) = owners.insert(zone, region) {
                found.add(&here, format!("`{zone}` is an availability zone of `{other}` already"));
            }
        }
    }
}

fn check_blocks(document: &FleetDocument, found: &mut Findings) {
    for (block, region) in &document.blocks {
        let place = Place::root().key("blocks").key(block.to_string());
        let network = block.network().trunc();
        found.expect(network == block.network(), &place, || {
            format!("`{block}` has bits set beyond its prefix; write `{network}`")
        });
        found.expect_known("region", region, document.regions.keys(), &place);
    }
}

fn check_links(document: &FleetDocument, found: &mut Findings) {
    let list = Place::root().key("links");
    for (i, link) in document.links.iter().enumerate() {
        let (place, [a, b]) = (list.index(i), &link.between);
        for (j, region) in link.between.iter().enumerate() {
            let here = place.key("between").index(j);
            found.expect_known("region", region, document.regions.keys(), &here);
        }
        found.expect(a != b, &place.key("between"), || {
            format!("joins `{a}` with itself; name two regions")
        });
        found.expect(!document.links[..i].iter().any(|l| l.joins(a, b)), &place, || {
            format!("a second link between `{a}` and `{b}`; keep one")
        });
        found.expect(link.cap_mbit > 0, &place.key("cap_mbit"), || {
            "is 0; expected 1 or more megabits a second".to_owned()
        });
        check_range(link.delay_ms, MAX_DELAY, false, &place.key("delay_ms"), found);
    }
}

fn check_members(document: &FleetDocument, found: &mut Findings) {
    for (member, settings) in &document.members {
        let place = Place::root().key("members").key(member.as_str());
        check_name("member", member, &place, found);
        found.expect(settings.weight > 0, &place.key("weight"), || {
            "is 0; expected 1 or more".to_owned()
        });
    }
}

fn check_teams(document: &FleetDocument, found: &mut Findings) {
    let mut owners: BTreeMap<&ServiceName, &TeamName> = BTreeMap::new();
    for (team, bounds) in &document.teams {
        let place = Place::root().key("teams").key(team.as_str());
        check_name("team", team, &place, found);
        for service in &bounds.services {
            let here = place.key("services").item(service.as_str());
            check_name("service", service, &here, found);
            if let Some(other) = owners.insert(service, team) {
                found.add(&here, format!("`{service}` belongs to team `{other}` already"));
            }
        }
    }
}

fn check_drains(document: &FleetDocument, found: &mut Findings) {
    for (place, drain) in each_drain(&document.drains, &document.maintenance) {
        match drain {
            DrainSettings::EntryVm(vm) => check_name("entry VM", vm, &place, found),
            DrainSettings::Region(region) => {
                found.expect_known("region", region, document.regions.keys(), &place);
            }
            DrainSettings::Target(target) => check_name("target", target, &place, found),
            DrainSettings::Zone(zone) => {
                let known = document.regions.values().flat_map(|r| &r.zones);
                found.expect_known("availability zone", zone, known, &place);
            }
        }
    }
}
