//! Checks of one service by itself.

use super::{
    ClassSettings, Findings, MatchRule, Place, ServiceSettings, TargetSettings,
    check_names::{check_name, check_range},
    check_team::check_shares,
};
use crate::{ClassName, ServiceName};
use std::collections::BTreeMap;

/// Longest deadline in milliseconds: a day.
const MAX_DEADLINE: u64 = 86_400_000;

/// Finds what is wrong with one service.
pub(super) fn check_service(
    name: &ServiceName,
    service: &ServiceSettings,
    place: &Place,
    found: &mut Findings,
) {
    check_name("service", name, place, found);
    check_hosts(&service.hosts, &place.key("hosts"), found);
    let classes = place.key("classes");
    found.expect(!service.classes.is_empty(), &classes, || {
        "is empty; a service has at least one class".to_owned()
    });
    for (class, settings) in &service.classes {
        let here = classes.key(class.as_str());
        check_name("class", class, &here, found);
        check_class(settings, &here, found);
    }
    check_overlaps(&service.classes, &classes, found);
    for (target, settings) in &service.targets {
        let here = place.key("targets").key(target.as_str());
        check_name("target", target, &here, found);
        check_target(settings, &here, found);
    }
    check_shares(&service.shares, &place.key("shares"), found);
}

fn check_hosts(hosts: &[String], place: &Place, found: &mut Findings) {
    found.expect(!hosts.is_empty(), place, || {
        "is empty; callers reach a service by at least one host".to_owned()
    });
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    for (i, host) in hosts.iter().enumerate() {
        let holds = !host.is_empty() && host.chars().all(fits);
        found.expect(holds, &place.index(i), || {
            format!("`{host}` is not a host name in small letters without a port")
        });
    }
}

fn check_class(class: &ClassSettings, place: &Place, found: &mut Findings) {
    let deadline = class.deadline_ms;
    found.expect((1..=MAX_DEADLINE).contains(&deadline), &place.key("deadline_ms"), || {
        format!("{deadline} is out of range; expected 1 to {MAX_DEADLINE} milliseconds")
    });
    check_range(class.slot_share, 1.0, true, &place.key("slot_share"), found);
    let matches = place.key("matches");
    found.expect(!class.matches.is_empty(), &matches, || {
        "is missing or empty; a class has at least one rule".to_owned()
    });
    for (i, rule) in class.matches.iter().enumerate() {
        check_rule(rule, &matches.index(i), found);
    }
}

fn check_rule(rule: &MatchRule, place: &Place, found: &mut Findings) {
    let path = &rule.path;
    found.expect(path.is_empty() || path.starts_with('/'), &place.key("path"), || {
        format!("`{path}` is not the start of a request path; write `/{path}`")
    });
    for (i, method) in rule.methods.iter().enumerate() {
        let fits = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
        found.expect(fits, &place.key("methods").index(i), || {
            format!("`{method}` is not an HTTP method in capitals")
        });
    }
}

/// Finds rules of two classes of which neither goes before the other.
fn check_overlaps(
    classes: &BTreeMap<ClassName, ClassSettings>,
    place: &Place,
    found: &mut Findings,
) {
    let mut earlier: Vec<(&ClassName, &MatchRule)> = Vec::new();
    for (class, settings) in classes {
        let list = place.key(class.as_str()).key("matches");
        for (i, rule) in settings.matches.iter().enumerate() {
            let tied = earlier.iter().find(|(name, other)| *name != class && tie(rule, other));
            if let Some((other, _)) = tied {
                let path = &rule.path;
                let reason =
                    format!("class `{other}` has a rule for the same requests at `{path}`");
                found.add(&list.index(i), reason);
            }
            earlier.push((class, rule));
        }
    }
}

/// Whether two rules match a request in common and neither is the closer match.
fn tie(a: &MatchRule, b: &MatchRule) -> bool {
    let both_open = a.methods.is_empty() && b.methods.is_empty();
    let shared = a.methods.iter().any(|m| b.methods.contains(m));
    a.path == b.path && (both_open || shared)
}

fn check_target(target: &TargetSettings, place: &Place, found: &mut Findings) {
    let address = target.address;
    let reachable = address.port() != 0 && !address.ip().is_unspecified();
    found.expect(reachable, &place.key("address"), || {
        format!("`{address}` can't be reached; expected an IP number and a port above 0")
    });
    found.expect(target.slots > 0, &place.key("slots"), || "is 0; expected 1 or more".to_owned());
    let (connections, slots) = (target.connections, target.slots);
    found.expect(connections >= slots.max(1), &place.key("connections"), || {
        format!("{connections} is too few for {slots} slots; expected {slots} or more")
    });
}
