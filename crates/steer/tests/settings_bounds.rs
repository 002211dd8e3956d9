//! Documents in the settings tree: bounds, waiting for the fleet, isolated refusal and versions.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::fmt::Write;
use steer::{Settings, SettingsPath, SettingsTree};

/// A fleet document that grants services to the teams `a` and `b`.
fn fleet(services_a: &str, services_b: &str, shift: u32, zones: &str) -> String {
    format!(
        r#"{{ "fleet": "demo",
  "regions": {{ "north": {{ "delay_ms": 1, "zones": [{zones}] }},
               "south": {{ "delay_ms": 1, "zones": ["s-a"] }} }},
  "teams": {{ "a": {{ "max_shift": {shift}, "services": [{services_a}] }},
             "b": {{ "max_shift": {shift}, "services": [{services_b}] }} }} }}"#
    )
}

/// A team document with one service.
fn team(service: &str, host: &str, target: &str, cap: u32) -> String {
    format!(
        r#"{{ "services": {{ "{service}": {{
    "hosts": ["{host}"],
    "classes": {{ "all": {{ "matches": [{{ "path": "/" }}] }} }},
    "shares": {{ "north": {{ "south": 0.1 }} }},
    "targets": {{ "{target}": {{ "address": "127.0.0.1:{port}", "slots": 1, "zone": "n-a" }} }}
  }} }},
  "shifts": [{{ "service": "{service}", "from": "north", "to": "south", "cap": {cap},
    "ramp_s": 9, "share": 0.5, "start": "2026-01-01T00:00:00Z" }}] }}"#,
        port = 9000 + target.len()
    )
}

/// Puts documents in force one after another and records the state of the tree after each.
fn apply_steps(steps: &[(&str, u64, String)]) -> String {
    let mut tree = SettingsTree::new();
    let mut table = String::new();
    for (path, version, text) in steps {
        let path = SettingsPath::parse(path).unwrap();
        writeln!(table, "{path} version {version}").unwrap();
        match Settings::new(path.clone(), *version, text.as_str()).check() {
            Err(problems) => tree.record_refusal(path, *version, problems),
            Ok(checked) => match tree.put_in_force(checked) {
                Ok(()) => writeln!(table, "  accepted").unwrap(),
                Err(error) => writeln!(table, "  {error}").unwrap(),
            },
        }
        write_tree(&mut table, &tree);
    }
    table
}

fn write_tree(table: &mut String, tree: &SettingsTree) {
    let versions: Vec<String> = tree.versions().map(|(p, v)| format!("{p}@{v}")).collect();
    writeln!(table, "  in force: {}", versions.join(" ")).unwrap();
    for (path, version) in tree.waiting() {
        writeln!(table, "  waiting: {path}@{version}").unwrap();
    }
    for (path, version, problems) in tree.refused() {
        problems.iter().for_each(|p| writeln!(table, "  refused: {path}@{version}:{p}").unwrap());
    }
    for (path, version, problems) in tree.limited() {
        problems.iter().for_each(|p| writeln!(table, "  limited: {path}@{version}:{p}").unwrap());
    }
    let snapshot = tree.to_snapshot();
    for service in snapshot.services() {
        let hosts = service.settings.hosts.join(" ");
        let targets: Vec<&str> = service.settings.targets.keys().map(AsRef::as_ref).collect();
        let caps: Vec<u32> =
            snapshot.shifts().iter().filter(|s| s.service == service.name).map(|s| s.cap).collect();
        let (name, team, targets) = (&service.name, &service.team, targets.join(" "));
        writeln!(table, "  service {name} of {team}: {hosts}, {targets}, shift caps {caps:?}")
            .unwrap();
    }
}

#[test]
fn a_team_document_waits_for_the_fleet() {
    let steps = [
        ("teams/a", 2, team("x", "x.example", "x-1", 5)),
        ("teams/b", 3, team("y", "y.example", "yy-1", 5)),
        ("fleet", 1, fleet("\"x\"", "\"y\"", 10, "\"n-a\"")),
    ];
    insta::assert_snapshot!(apply_steps(&steps));
}

#[test]
fn a_document_out_of_bounds_is_refused_until_the_fleet_allows_it() {
    let steps = [
        ("fleet", 1, fleet("\"x\"", "\"y\"", 10, "\"n-a\"")),
        ("teams/a", 2, team("x", "x.example", "x-1", 5)),
        ("teams/b", 3, team("y", "y.example", "yy-1", 5)),
        ("teams/a", 4, team("x", "x.example", "x-1", 11)),
        ("teams/a", 5, team("z", "z.example", "z-1", 5)),
        ("teams/a", 6, team("x", "y.example", "x-1", 5)),
        ("teams/a", 7, team("x", "x.example", "yy-1", 5)),
        ("teams/a", 8, "{ \"services\": {} ".to_owned()),
        ("teams/c", 9, team("y", "c.example", "ccc-1", 5)),
        ("teams/b", 3, team("y", "other.example", "yy-1", 5)),
        ("teams/a", 10, team("z", "z.example", "z-1", 5)),
        ("fleet", 11, fleet("\"z\"", "\"y\"", 10, "\"n-a\"")),
    ];
    insta::assert_snapshot!(apply_steps(&steps));
}

#[test]
fn narrower_fleet_bounds_limit_documents_in_force() {
    let steps = [
        ("fleet", 1, fleet("\"x\"", "\"y\"", 10, "\"n-a\"")),
        ("teams/a", 2, team("x", "x.example", "x-1", 5)),
        ("teams/b", 3, team("y", "y.example", "yy-1", 8)),
        ("fleet", 4, fleet("", "\"y\"", 6, "\"n-b\"")),
        ("fleet", 5, fleet("\"x\"", "\"y\"", 10, "\"n-a\"")),
        ("teams/b", 6, "{ \"services\": {} }".to_owned()),
        ("fleet", 7, fleet("\"x\"", "\"y\"", 10, "\"n-a\"").replace("\"b\"", "\"c\"")),
    ];
    insta::assert_snapshot!(apply_steps(&steps));
}

#[test]
fn an_unknown_drain_target_is_reported_once_all_teams_have_documents() {
    let drains = |now: &str, planned: &str| {
        let text = fleet("\"x\"", "\"y\"", 9, "\"n-a\"");
        let window = r#""from": "2026-01-01T00:00:00Z", "until": "2026-01-01T01:00:00Z""#;
        let start = text.rfind('}').unwrap();
        format!(
            r#"{}, "drains": [{{ "target": "{now}" }}],
  "maintenance": [{{ "drain": {{ "target": "{planned}" }}, {window} }}] }}"#,
            &text[..start]
        )
    };
    insta::assert_snapshot!(apply_steps(&[
        ("fleet", 1, drains("x-2", "yy-1")),
        ("teams/a", 2, team("x", "x.example", "x-1", 5)),
        ("teams/b", 3, team("y", "y.example", "yy-1", 5)),
        ("fleet", 4, drains("x-1", "yy-2")),
        ("teams/b", 5, team("y", "y.example", "yy-2", 5)),
        ("teams/a", 6, "{ \"services\": {} }".to_owned()),
    ]));
}
