//! Tables of invalid documents with the error messages that operators see.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::fmt::Write;
use steer::{Settings, SettingsPath};

const FLEET: &str = r#"{
  "fleet": "demo",
  "blocks": { "10.1.0.0/16": "north" },
  "links": [{ "between": ["north", "south"], "cap_mbit": 100, "delay_ms": 9.5 }],
  "members": { "agency": { "weight": 1 } },
  "regions": {
    "north": { "delay_ms": 1.0, "zones": ["n-a", "n-b"] },
    "south": { "delay_ms": 1.0, "zones": ["s-a"] },
  },
  "teams": {
    "media": { "max_shift": 10, "services": ["media"] },
    "reads": { "max_shift": 10, "services": ["reads"] }
  }
}"#;

const TEAM: &str = r#"{
  // A service with two classes.
  "services": {
    "reads": {
      "hosts": ["reads.example"],
      "classes": {
        "list": { "matches": [{ "methods": ["GET"], "path": "/list" }] },
        "write": { "deadline_ms": 500, "matches": [{ "methods": ["POST"], "path": "/list" }] }
      },
      "shares": { "north": { "south": 0.25 } },
      "targets": {
        "r-1": { "address": "127.0.0.1:9001", "slots": 3, "zone": "n-a" },
        "r-2": { "address": "127.0.0.2:9001", "slots": 3, "zone": "s-a" }
      }
    }
  },
  "drains": [{ "target": "r-1" }],
  "maintenance": [
    { "drain": { "target": "r-2" }, "from": "2026-01-01T00:00:00Z", "until": "2026-01-01T01:00:00Z" }
  ],
  "shifts": [{ "service": "reads", "from": "north", "to": "south", "cap": 5, "ramp_s": 60,
    "share": 0.5, "start": "2026-01-01T00:00:00Z" }]
}"#;

/// Validates a document and records the errors.
fn write_result(table: &mut String, path: &SettingsPath, text: &str) {
    match Settings::new(path.clone(), 1, text).check() {
        Ok(_) => writeln!(table, "   accepted").unwrap(),
        Err(problems) => problems.iter().for_each(|p| writeln!(table, "   {path}:{p}").unwrap()),
    }
}

/// Replaces the first occurrence of a text, validates the document and records the errors.
fn write_errors(table: &mut String, path: &SettingsPath, good: &str, from: &str, to: &str) {
    assert!(good.contains(from), "{from}");
    let text = good.replacen(from, to, 1);
    writeln!(table, "{from}\n-> {to}").unwrap();
    write_result(table, path, &text);
}

#[test]
fn names_place_line_and_remedy_in_a_fleet_document() {
    let cases = [
        ("\"fleet\": \"demo\",", ""),
        ("\"fleet\"", "\"fleat\""),
        ("\"fleet\": \"demo\"", "\"fleet\": \"De/mo\""),
        ("\"fleet\": \"demo\"", "\"fleet\": 7"),
        ("\"fleet\": \"demo\",", "\"fleet\": \"demo\""),
        ("\"fleet\": \"demo\",", "\"fleet\": \"demo\", \"fleet\": \"other\","),
        ("10.1.0.0/16\": \"north", "10.1.2.0/16\": \"north"),
        ("10.1.0.0/16\": \"north", "10.1.0.0/40\": \"north"),
        ("10.1.0.0/16\": \"north", "10.1.0.0/16\": \"nroth"),
        ("[\"north\", \"south\"]", "[\"north\", \"north\"]"),
        ("[\"north\", \"south\"]", "[\"north\", \"west\"]"),
        ("[\"north\", \"south\"]", "[\"north\"]"),
        ("\"cap_mbit\": 100", "\"cap_mbit\": 0"),
        ("\"cap_mbit\": 100", "\"cap_mbit\": -1"),
        ("\"delay_ms\": 9.5", "\"delay_ms\": -9.5"),
        ("\"delay_ms\": 9.5", "\"delay_ms\": \"9.5\""),
        ("\"delay_ms\": 9.5", "\"delay_ms\": 1e400"),
        (
            " }],\n  \"members",
            " }, { \"between\": [\"south\", \"north\"], \"cap_mbit\": 1, \"delay_ms\": 1 }],\n  \"members",
        ),
        ("\"weight\": 1", "\"weight\": 0"),
        ("\"weight\": 1", "\"wieght\": 1"),
        ("[\"s-a\"]", "[\"n-b\"]"),
        ("[\"s-a\"]", "[]"),
        ("\"services\": [\"reads\"]", "\"services\": [\"media\"]"),
        ("\"fleet\": \"demo\",", "\"fleet\": \"demo\", \"drains\": [{ \"zone\": \"n-c\" }],"),
        ("\"fleet\": \"demo\",", "\"fleet\": \"demo\", \"drains\": [{ \"zones\": \"n-a\" }],"),
        ("\"fleet\": \"demo\",", "\"fleet\": \"demo\", \"drains\": [{ \"region\": \"east\" }],"),
    ];
    let mut table = String::new();
    write_errors(&mut table, &SettingsPath::Fleet, FLEET, "{", "{");
    for (from, to) in cases {
        write_errors(&mut table, &SettingsPath::Fleet, FLEET, from, to);
    }
    for text in ["", "// nothing", "[]", "{", "{} {}", "nul", "\u{0}"] {
        writeln!(table, "the whole document is {text:?}").unwrap();
        write_result(&mut table, &SettingsPath::Fleet, text);
    }
    insta::assert_snapshot!(table);
}

#[test]
fn names_place_line_and_remedy_in_a_team_document() {
    let cases = [
        ("\"hosts\": [\"reads.example\"]", "\"hosts\": []"),
        ("\"reads.example\"", "\"reads.example\", \"reads.example\""),
        ("\"reads.example\"", "\"Reads.example:80\""),
        ("\"deadline_ms\": 500", "\"deadline_ms\": 0"),
        ("\"deadline_ms\": 500", "\"deadline_ms\": 500, \"slot_share\": 1.5"),
        ("\"deadline_ms\": 500", "\"deadline_ms\": 500, \"slot_share\": 0"),
        ("\"deadline_ms\": 500", "\"deadline_ms\": 500, \"urgency\": \"intercative\""),
        ("\"deadline_ms\": 500", "\"deadline_ms\": 500, \"repeat\": \"twice\""),
        ("\"matches\": [{ \"methods\": [\"GET\"], \"path\": \"/list\" }]", ""),
        ("[\"POST\"]", "[\"POST\", \"GET\"]"),
        ("[\"POST\"]", "[\"post\"]"),
        ("\"path\": \"/list\"", "\"path\": \"list\""),
        ("{ \"south\": 0.25 }", "{ \"south\": 0.75, \"north\": 0.5 }"),
        ("{ \"south\": 0.25 }", "{ \"south\": -0.25 }"),
        ("127.0.0.2:9001", "127.0.0.1:9001"),
        ("127.0.0.2:9001", "127.0.0.2:0"),
        ("127.0.0.2:9001", "reads-2:9001"),
        ("\"slots\": 3", "\"slots\": 0"),
        ("\"slots\": 3", "\"slots\": 3, \"connections\": 2"),
        ("\"slots\": 3", "\"slot\": 3"),
        ("{ \"target\": \"r-1\" }", "{ \"target\": \"r-9\" }"),
        ("{ \"target\": \"r-1\" }", "{ \"zone\": \"n-a\" }"),
        ("\"until\": \"2026", "\"until\": \"2025"),
        ("\"until\": \"2026-01-01T01:00:00Z\"", "\"until\": \"tomorrow\""),
        ("\"service\": \"reads\"", "\"service\": \"writes\""),
        ("\"to\": \"south\"", "\"to\": \"north\""),
        ("\"cap\": 5", "\"cap\": 0"),
        ("\"ramp_s\": 60", "\"ramp_s\": 0"),
        ("\"share\": 0.5", "\"share\": 2"),
        ("\"share\": 0.5", "\"share\": 0"),
    ];
    let path = SettingsPath::Team("reads".into());
    let mut table = String::new();
    write_errors(&mut table, &path, TEAM, "{", "{");
    for (from, to) in cases {
        write_errors(&mut table, &path, TEAM, from, to);
    }
    insta::assert_snapshot!(table);
}
