//! Validates the settings of one service on their own.

use super::{
    ClassSettings, Findings, MatchRule, ServiceSettings, TargetSettings, ValuePath,
    check_common::{check_name, check_range},
    check_team::check_shares,
};
use crate::{ClassName, ServiceName};
use std::collections::BTreeMap;

/// Maximum deadline: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Validates the settings of one service.
pub(super) fn check_service(
    name: &ServiceName,
    service: &ServiceSettings,
    path: &ValuePath,
    findings: &mut Findings,
) {
    check_name("service", name, path, findings);
    check_hosts(&service.hosts, &path.key("hosts"), findings);
    let classes = path.key("classes");
    findings.expect(!service.classes.is_empty(), &classes, || {
        "is empty; a service has at least one class".to_owned()
    });
    for (class, settings) in &service.classes {
        let here = classes.key(class.as_str());
        check_name("class", class, &here, findings);
        check_class(settings, &here, findings);
    }
    check_ambiguous_rules(&service.classes, &classes, findings);
    for (target, settings) in &service.targets {
        let here = path.key("targets").key(target.as_str());
        check_name("target", target, &here, findings);
        check_target(settings, &here, findings);
    }
    check_shares(&service.shares, &path.key("shares"), findings);
}

fn check_hosts(hosts: &[String], path: &ValuePath, findings: &mut Findings) {
    findings.expect(!hosts.is_empty(), path, || {
        "is empty; callers reach a service by at least one host".to_owned()
    });
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    for (i, host) in hosts.iter().enumerate() {
        let holds = !host.is_empty() && host.chars().all(fits);
        findings.expect(holds, &path.index(i), || {
            format!("`{host}` is not a lowercase host name without a port")
        });
    }
}

fn check_class(class: &ClassSettings, path: &ValuePath, findings: &mut Findings) {
    let deadline = class.deadline_ms;
    findings.expect((1..=MAX_DEADLINE_MS).contains(&deadline), &path.key("deadline_ms"), || {
        format!("{deadline} is out of range; expected 1 to {MAX_DEADLINE_MS} milliseconds")
    });
    check_range(class.slot_share, 1.0, true, &path.key("slot_share"), findings);
    let matches = path.key("matches");
    findings.expect(!class.matches.is_empty(), &matches, || {
        "is missing or empty; a class has at least one rule".to_owned()
    });
    for (i, rule) in class.matches.iter().enumerate() {
        check_rule(rule, &matches.index(i), findings);
    }
}

fn check_rule(rule: &MatchRule, path: &ValuePath, findings: &mut Findings) {
    let prefix = &rule.path;
    findings.expect(prefix.is_empty() || prefix.starts_with('/'), &path.key("path"), || {
        format!("`{prefix}` is not the start of a request path; write `/{prefix}`")
    });
    for (i, method) in rule.methods.iter().enumerate() {
        let fits = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
        findings.expect(fits, &path.key("methods").index(i), || {
            format!("`{method}` is not an uppercase HTTP method")
        });
    }
}

/// Finds rules of different classes that match the same requests with equal precedence.
fn check_ambiguous_rules(
    classes: &BTreeMap<ClassName, ClassSettings>,
    path: &ValuePath,
    findings: &mut Findings,
) {
    let mut earlier: Vec<(&ClassName, &MatchRule)> = Vec::new();
    for (class, settings) in classes {
        let list = path.key(class.as_str()).key("matches");
        for (i, rule) in settings.matches.iter().enumerate() {
            let conflict =
                earlier.iter().find(|(name, other)| *name != class && is_ambiguous(rule, other));
            if let Some((other, _)) = conflict {
                let prefix = &rule.path;
                let reason =
                    format!("class `{other}` has a rule for the same requests at `{prefix}`");
                findings.add(&list.index(i), reason);
            }
            earlier.push((class, rule));
        }
    }
}

/// Returns whether two rules match the same request and neither is more specific.
fn is_ambiguous(a: &MatchRule, b: &MatchRule) -> bool {
    let both_any = a.methods.is_empty() && b.methods.is_empty();
    let shared = a.methods.iter().any(|m| b.methods.contains(m));
    a.path == b.path && (both_any || shared)
}

fn check_target(target: &TargetSettings, path: &ValuePath, findings: &mut Findings) {
    let address = target.address;
    let reachable = address.port() != 0 && !address.ip().is_unspecified();
    findings.expect(reachable, &path.key("address"), || {
        format!("`{address}` can't be reached; expected an IP address and a port above 0")
    });
    findings.expect(target.slots > 0, &path.key("slots"), || "is 0; expected 1 or more".to_owned());
    let (connections, slots) = (target.connections, target.slots);
    findings.expect(connections >= slots.max(1), &path.key("connections"), || {
        format!("{connections} is too few for {slots} slots; expected {slots} or more")
    });
}
