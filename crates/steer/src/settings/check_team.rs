//! Checks of a team's document by itself.

use super::{
    DrainSettings, Findings, Place, TeamDocument,
    check_names::{check_range, check_windows, each_drain},
    check_service::check_service,
};
use crate::{RegionName, ServiceName, TargetName};
use std::{collections::BTreeMap, net::SocketAddr};

/// Rounding that a sum of shares may have.
const ROUNDING: f64 = 1e-9;

/// Finds what is wrong with a team's document by itself.
pub(super) fn check_team(document: &TeamDocument) -> Findings {
    let mut found = Findings::default();
    for (name, service) in &document.services {
        let place = Place::root().key("services").key(name.as_str());
        check_service(name, service, &place, &mut found);
    }
    check_doubles(document, &mut found);
    check_drains(document, &mut found);
    check_windows(&document.maintenance, &mut found);
    check_shifts(document, &mut found);
    found
}

/// Checks that a host, a target's name and a target's address stand once in the document.
fn check_doubles(document: &TeamDocument, found: &mut Findings) {
    let mut hosts: BTreeMap<&str, &ServiceName> = BTreeMap::new();
    let mut names: BTreeMap<&TargetName, &ServiceName> = BTreeMap::new();
    let mut addresses: BTreeMap<SocketAddr, &TargetName> = BTreeMap::new();
    for (name, service) in &document.services {
        let place = Place::root().key("services").key(name.as_str());
        for (i, host) in service.hosts.iter().enumerate() {
            if let Some(other) = hosts.insert(host, name) {
                let here = place.key("hosts").index(i);
                found.add(&here, format!("host `{host}` belongs to service `{other}` already"));
            }
        }
        for (target, settings) in &service.targets {
            let here = place.key("targets").key(target.as_str());
            if let Some(other) = names.insert(target, name) {
                found.add(&here, format!("`{target}` is a target of service `{other}` already"));
            }
            if let Some(other) = addresses.insert(settings.address, target) {
                let address = settings.address;
                let reason = format!("`{address}` is the address of target `{other}` already");
                found.add(&here.key("address"), reason);
            }
        }
    }
}

fn check_drains(document: &TeamDocument, found: &mut Findings) {
    for (place, drain) in each_drain(&document.drains, &document.maintenance) {
        match drain {
            DrainSettings::Target(target) => {
                let known = document.services.values().flat_map(|s| s.targets.keys());
                found.expect_known("target", target, known, &place);
            }
            _ => found.add(&place, "a team may drain only targets of its own services"),
        }
    }
}

fn check_shifts(document: &TeamDocument, found: &mut Findings) {
    let list = Place::root().key("shifts");
    let mut sums: BTreeMap<(&ServiceName, &RegionName), f64> = BTreeMap::new();
    for (i, shift) in document.shifts.iter().enumerate() {
        let place = list.index(i);
        let here = place.key("service");
        found.expect_known("service", &shift.service, document.services.keys(), &here);
        found.expect(shift.from != shift.to, &place.key("to"), || {
            format!("`{}` is also the region that the traffic leaves", shift.to)
        });
        found.expect(shift.cap > 0, &place.key("cap"), || {
            "is 0; expected 1 or more requests a second".to_owned()
        });
        found.expect(shift.ramp_s > 0, &place.key("ramp_s"), || {
            "is 0; expected 1 or more seconds, as the targets' caches are cold".to_owned()
        });
        check_range(shift.share, 1.0, true, &place.key("share"), found);
        let earlier = &document.shifts[..i];
        let same = |s: &&super::ShiftSettings| {
            (&s.service, &s.from, &s.to) == (&shift.service, &shift.from, &shift.to)
        };
        found.expect(!earlier.iter().any(|s| same(&s)), &place, || {
            let (service, from, to) = (&shift.service, &shift.from, &shift.to);
            format!("a second shift of `{service}` from `{from}` to `{to}`; keep one")
        });
        let sum = sums.entry((&shift.service, &shift.from)).or_default();
        *sum += shift.share;
        found.expect(*sum <= 1.0 + ROUNDING, &place.key("share"), || {
            let (service, from) = (&shift.service, &shift.from);
            format!("shifts of `{service}` from `{from}` sum to {sum:.3}; at most 1 is allowed")
        });
    }
}

/// Checks that what other regions serve of a home region's traffic is at most all of it.
pub(super) fn check_shares(
    shares: &BTreeMap<RegionName, BTreeMap<RegionName, f64>>,
    place: &Place,
    found: &mut Findings,
) {
    for (home, parts) in shares {
        let here = place.key(home.as_str());
        for (region, share) in parts {
            check_range(*share, 1.0, false, &here.key(region.as_str()), found);
        }
        let sum: f64 = parts.values().sum();
        found.expect(sum <= 1.0 + ROUNDING, &here, || {
            format!("the shares sum to {sum:.3}; at most 1 is allowed")
        });
    }
}
