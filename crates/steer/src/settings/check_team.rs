//! Validates a team's document on its own, without the fleet's bounds.

use super::{
    DrainSettings, Findings, TeamDocument, ValuePath,
    check_common::{check_range, check_windows, each_drain},
    check_service::check_service,
};
use crate::{RegionName, ServiceName, TargetName};
use std::{collections::BTreeMap, net::SocketAddr};

/// Tolerance for floating-point rounding in a sum of shares.
const SUM_TOLERANCE: f64 = 1e-9;

/// Validates a team's document on its own.
pub(super) fn check_team(document: &TeamDocument) -> Findings {
    let mut findings = Findings::default();
    for (name, service) in &document.services {
        let path = ValuePath::root().key("services").key(name.as_str());
        check_service(name, service, &path, &mut findings);
    }
    check_duplicates(document, &mut findings);
    check_drains(document, &mut findings);
    check_windows(&document.maintenance, &mut findings);
    check_shifts(document, &mut findings);
    findings
}

/// Checks that each host, target name and target address appears only once in the document.
fn check_duplicates(document: &TeamDocument, findings: &mut Findings) {
    let mut hosts: BTreeMap<&str, &ServiceName> = BTreeMap::new();
    let mut names: BTreeMap<&TargetName, &ServiceName> = BTreeMap::new();
    let mut addresses: BTreeMap<SocketAddr, &TargetName> = BTreeMap::new();
    for (name, service) in &document.services {
        let path = ValuePath::root().key("services").key(name.as_str());
        for (i, host) in service.hosts.iter().enumerate() {
            if let Some(other) = hosts.insert(host, name) {
                let here = path.key("hosts").index(i);
                findings.add(&here, format!("host `{host}` already belongs to service `{other}`"));
            }
        }
        for (target, settings) in &service.targets {
            let here = path.key("targets").key(target.as_str());
            if let Some(other) = names.insert(target, name) {
                findings.add(&here, format!("`{target}` is already a target of service `{other}`"));
            }
            if let Some(other) = addresses.insert(settings.address, target) {
                let address = settings.address;
                let reason = format!("`{address}` is already the address of target `{other}`");
                findings.add(&here.key("address"), reason);
            }
        }
    }
}

fn check_drains(document: &TeamDocument, findings: &mut Findings) {
    for (path, drain) in each_drain(&document.drains, &document.maintenance) {
        match drain {
            DrainSettings::Target(target) => {
                let known = document.services.values().flat_map(|s| s.targets.keys());
                findings.expect_known("target", target, known, &path);
            }
            _ => findings.add(&path, "a team may drain only targets of its own services"),
        }
    }
}

fn check_shifts(document: &TeamDocument, findings: &mut Findings) {
    let list = ValuePath::root().key("shifts");
    let mut sums: BTreeMap<(&ServiceName, &RegionName), f64> = BTreeMap::new();
    for (i, shift) in document.shifts.iter().enumerate() {
        let path = list.index(i);
        let here = path.key("service");
        findings.expect_known("service", &shift.service, document.services.keys(), &here);
        findings.expect(shift.from != shift.to, &path.key("to"), || {
            format!("`{}` is also the source region of the shift", shift.to)
        });
        findings.expect(shift.cap > 0, &path.key("cap"), || {
            "is 0; expected 1 or more requests a second".to_owned()
        });
        findings.expect(shift.ramp_s > 0, &path.key("ramp_s"), || {
            "is 0; expected 1 or more seconds, as the targets' caches are cold".to_owned()
        });
        check_range(shift.share, 1.0, true, &path.key("share"), findings);
        let earlier = &document.shifts[..i];
        let same = |s: &&super::ShiftSettings| {
            (&s.service, &s.from, &s.to) == (&shift.service, &shift.from, &shift.to)
        };
        findings.expect(!earlier.iter().any(|s| same(&s)), &path, || {
            let (service, from, to) = (&shift.service, &shift.from, &shift.to);
            format!("duplicate shift of `{service}` from `{from}` to `{to}`; keep one")
        });
        let sum = sums.entry((&shift.service, &shift.from)).or_default();
        *sum += shift.share;
        findings.expect(*sum <= 1.0 + SUM_TOLERANCE, &path.key("share"), || {
            let (service, from) = (&shift.service, &shift.from);
            format!("shifts of `{service}` from `{from}` sum to {sum:.3}; at most 1 is allowed")
        });
    }
}

/// Checks that the shares of each home region's traffic sum to at most 1.
pub(super) fn check_shares(
    shares: &BTreeMap<RegionName, BTreeMap<RegionName, f64>>,
    path: &ValuePath,
    findings: &mut Findings,
) {
    for (home, parts) in shares {
        let here = path.key(home.as_str());
        for (region, share) in parts {
            check_range(*share, 1.0, false, &here.key(region.as_str()), findings);
        }
        let sum: f64 = parts.values().sum();
        findings.expect(sum <= 1.0 + SUM_TOLERANCE, &here, || {
            format!("the shares sum to {sum:.3}; at most 1 is allowed")
        });
    }
}
