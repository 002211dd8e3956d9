//! Checks that a seed keeps its faults.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use soak::{FleetSize, Schedule};
use std::{fmt::Write, time::Duration};

#[test]
fn a_seed_keeps_its_faults() {
    let mut table = String::new();
    for step in Schedule::draw(437, Duration::from_secs(30), FleetSize::default()).steps {
        writeln!(table, "{:6.3} s {:?}", step.at.as_secs_f64(), step.fault).unwrap();
    }
    insta::assert_snapshot!(table);
}
