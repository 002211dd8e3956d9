//! Tests that the settings in `examples/` are valid, and that a malformed document is rejected
//! without affecting the others.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use lab::{Deployment, Network};
use quickcheck::{Arbitrary, Gen};
use std::fmt::Write;
use steer::{Problem, Settings, SettingsPath, SettingsTree};

/// Mutations tried for each example.
const MUTATIONS: u64 = 500;
/// Fragments that an editing mistake may insert.
const FRAGMENTS: [&str; 12] =
    ["{", "}", "[", "]", ",", ":", "\"", "0", "-1", "null", "// ", "\"zone\": \"lis-a\""];

#[test]
fn examples_have_expected_sizes() {
    let mut table = String::new();
    for name in ["vitrine", "zadruga"] {
        let deployment = Deployment::by_name(name).unwrap();
        let snapshot = deployment.snapshot(Network::new(1)).unwrap();
        writeln!(table, "{name}: {} entry VMs", deployment.entry_vms().len()).unwrap();
        for service in snapshot.services() {
            let targets = &service.settings.targets;
            let slots: u32 = targets.values().map(|t| t.slots).sum();
            let classes: Vec<&str> = service.settings.classes.keys().map(AsRef::as_ref).collect();
            writeln!(
                table,
                "  {}: {} targets, {slots} slots, classes {}",
                service.name,
                targets.len(),
                classes.join(" ")
            )
            .unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// Mutates a text in one to three places, at character boundaries.
fn mutate(text: &str, g: &mut Gen) -> String {
    let mut text = text.to_owned();
    for _ in 0..=u8::arbitrary(g) % 3 {
        let boundaries: Vec<usize> = text.char_indices().map(|(i, _)| i).collect();
        let Some(start) = g.choose(&boundaries).copied() else { return text };
        let end = boundaries.iter().copied().find(|b| *b >= start + 1 + usize::arbitrary(g) % 20);
        let end = end.unwrap_or(text.len());
        match u8::arbitrary(g) % 4 {
            0 => text.replace_range(start..end, ""),
            1 => text.insert_str(start, g.choose(&FRAGMENTS).unwrap()),
            2 => {
                let copy = text[start..end].to_owned();
                text.insert_str(start, &copy);
            }
            _ => text.replace_range(start..end, &char::arbitrary(g).to_string()),
        }
    }
    text
}

/// Validates and applies a document as an entry VM does; returns the problems found.
fn apply_document(
    tree: &mut SettingsTree,
    path: &SettingsPath,
    version: u64,
    text: &str,
) -> Vec<Problem> {
    let result = match Settings::new(path.clone(), version, text).check() {
        Ok(checked) => match tree.put_in_force(checked) {
            Err(steer::PutError::OutOfBounds(problems)) => problems,
            other => return other.map(|()| Vec::new()).unwrap(),
        },
        Err(problems) => problems,
    };
    tree.record_refusal(path.clone(), version, result.clone());
    result
}

#[test]
fn malformed_examples_are_rejected_individually() {
    let mut table = String::new();
    for name in ["vitrine", "zadruga"] {
        let documents = Deployment::by_name(name).unwrap().documents(Network::new(1));
        let mut valid = SettingsTree::new();
        for (path, text) in &documents {
            assert_eq!(apply_document(&mut valid, path, 1, text), [], "{path}");
        }
        for (path, text) in &documents {
            let mut refused = 0;
            for seed in 0..MUTATIONS {
                let mutated = mutate(text, &mut Gen::from_size_and_seed(20, seed));
                let mut tree = valid.clone();
                let problems = apply_document(&mut tree, path, 2, &mutated);
                let expected = if problems.is_empty() { 2 } else { 1 };
                for (other, version) in tree.versions() {
                    assert_eq!(version, if other == path { expected } else { 1 }, "seed {seed}");
                }
                assert_eq!(tree.refused().count() as u64, 2 - expected, "seed {seed}");
                for Problem { position, place, reason } in &problems {
                    let lines = mutated.lines().count().max(1) + 1;
                    assert!((1..=lines).contains(&position.line), "seed {seed}: {position}");
                    assert!(!place.is_empty() && !reason.is_empty(), "seed {seed}");
                }
                refused += u64::from(!problems.is_empty());
            }
            writeln!(table, "{name} {path}: {refused} of {MUTATIONS} refused").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
