//! Adds up the waits between a change in the store and a VM that applies it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{fmt::Write, time::Duration};
use steer::{ChangeLimits, RelayRole, RelayTiming, StoreGate};

const ROLES: [RelayRole; 5] = [
    RelayRole::Reader,
    RelayRole::Standby,
    RelayRole::RegionDelegate,
    RelayRole::ZoneDelegate,
    RelayRole::Member,
];

// Guards against waits that are longer, together, than the time within which a change must be known.
#[test]
fn the_waits_of_a_vm_that_replaces_others_fit_into_the_limit() {
    let mut table = String::new();
    for ms in [2_000, 2_500, 3_000, 4_000, 7_000] {
        let limit = Duration::from_millis(ms);
        let timing = RelayTiming::within(limit);
        let delays = ROLES.map(|role| timing.longest_delay(role));
        assert!(delays.iter().all(|delay| *delay <= limit), "{limit:?}: {delays:?}");
        let delays = delays.map(|delay| delay.as_millis().to_string());
        writeln!(table, "{ms} ms: {} ms", delays.join(", ")).unwrap();
    }
    insta::assert_snapshot!(table);
}

// Guards against VMs that notice too late that they reach the store again, if no other VM does.
#[test]
fn a_vm_finds_the_store_again_within_the_stable_time() {
    let retry = StoreGate::longest_retry_pause() + RelayTiming::CALL_TIME;
    assert!(retry <= ChangeLimits::DEFAULT_STABLE, "{retry:?}");
}
