//! Behaviour of a fleet under partial failures, on Tokio's paused clock.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{TestFleet, fleet_version, format_time, serving_peers, to_platform_vm};
use slog::{Discard, Logger, o};
use std::{fmt::Write, sync::Arc, time::Duration};
use steer::{EntryNode, SettingsPath, TeamName, Vm, VmState};
use tokio::time::{advance, sleep};

const ZONES_AND_VMS: (usize, usize) = (2, 2);
const SPREAD_BOUND: Duration = Duration::from_secs(2);
const HEAL_BOUND: Duration = Duration::from_secs(7);

async fn joined_fleet() -> TestFleet {
    let fleet = TestFleet::start(3, ZONES_AND_VMS.0, ZONES_AND_VMS.1).await;
    fleet.wait_until_joined().await.unwrap();
    sleep(Duration::from_secs(3)).await;
    fleet
}

fn isolate_zone(fleet: &TestFleet, zone: &str) {
    for other in (0..6).map(|n| format!("zone-{n}")).filter(|other| other != zone) {
        fleet.network.partition(zone, &other);
    }
    fleet.network.partition(zone, "platform");
}

/// Adds a row to the table and asserts that the time is within its bound.
fn record(table: &mut String, event: &str, time: Option<Duration>, bound: Duration) {
    println!("{event:<62} {}", format_time(time));
    writeln!(table, "{event:<62} within {} s", bound.as_secs()).unwrap();
    assert!(time.is_some_and(|t| t <= bound), "{event}: {}", format_time(time));
}

#[tokio::test(start_paused = true)]
async fn settings_spread_and_never_revert_under_faults() {
    let mut table = String::new();
    let mut fleet = joined_fleet().await;

    let delegate = (0..2).find(|n| fleet.node(*n).is_delegate()).unwrap();
    fleet.kill(delegate);
    let new = fleet.change_settings(1);
    let time = fleet.wait_until(|n| fleet_version(n) == new).await;
    record(&mut table, "a delegate of a zone dies as settings change", time, SPREAD_BOUND);

    isolate_zone(&fleet, "zone-5");
    let new = fleet.change_settings(2);
    let time =
        fleet.wait_until(|n| fleet_version(n) == new || n.vm().zone.as_str() == "zone-5").await;
    record(&mut table, "settings change while a zone is cut off", time, SPREAD_BOUND);
    sleep(Duration::from_secs(5)).await;
    let outdated = fleet.node(11);
    let held = (fleet_version(outdated) < new, outdated.state(), serving_peers(outdated));
    writeln!(table, "  the zone serves with older settings and its own VMs: {held:?}").unwrap();
    fleet.network.heal();
    let time = fleet.wait_until(|n| fleet_version(n) == new && serving_peers(n).len() == 10).await;
    record(&mut table, "it heals, catches up and is known to all", time, HEAL_BOUND);

    let network = Arc::clone(&fleet.network);
    let platform = &network.platform;
    platform.save();
    let newest = fleet.change_settings(3);
    fleet.wait_until(|n| fleet_version(n) == newest).await.unwrap();
    platform.restore_saved();
    sleep(Duration::from_secs(70)).await;
    let time = fleet.wait_until(|n| fleet_version(n) == newest).await;
    record(&mut table, "the platform comes back with an older store", time, SPREAD_BOUND);

    *platform.down.lock().unwrap() = true;
    sleep(Duration::from_secs(5)).await;
    let old = fleet.kill(4);
    let seed = fleet.node(2).vm().addresses.peers;
    fleet.run(4, ZONES_AND_VMS, &[seed]);
    let new_vm = fleet.node(4).clone();
    let serving = fleet.wait_until(|_| new_vm.state() == VmState::Serving).await;
    record(
        &mut table,
        "a VM is replaced while the platform is down, and serves",
        serving,
        SPREAD_BOUND,
    );
    let same = fleet_version(&new_vm) == newest && new_vm.vm().incarnation > old.vm().incarnation;
    writeln!(table, "  with the newest settings, as a newer incarnation: {same}").unwrap();
    assert!(!fleet.node(2).accept_heartbeat(old.heartbeat()), "an older incarnation is refused");
    let calls = *platform.calls.lock().unwrap();
    sleep(Duration::from_secs(60)).await;
    let calls = *platform.calls.lock().unwrap() - calls;
    writeln!(table, "calls to the platform in a minute of outage: below 1500: {}", calls < 1500)
        .unwrap();
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn skipped_watch_events_and_deletions_reach_all_vms() {
    let mut table = String::new();
    let fleet = joined_fleet().await;
    let platform = &fleet.network.platform;

    let path = SettingsPath::Team(TeamName::from("a"));
    let text = r#"{ "services": {} }"#;
    let team = platform.put("settings/teams/a", text);
    let held = |n: &EntryNode| n.with_tree(|tree| tree.version(&path)).unwrap_or_default();
    let time = fleet.wait_until(|n| held(n) == team).await;
    record(&mut table, "a team's settings are new", time, SPREAD_BOUND);
    let deleted = platform.set("settings/teams/a", None);
    let time = fleet.wait_until(|n| held(n) == deleted).await;
    record(&mut table, "they are deleted", time, SPREAD_BOUND);

    let before = fleet_version(fleet.node(0));
    platform.set("settings/fleet", None);
    sleep(Duration::from_secs(3)).await;
    let kept = fleet.vms.values().all(|vm| fleet_version(&vm.node) == before);
    writeln!(table, "the fleet's settings are deleted; the last stay in force: {kept}").unwrap();

    *platform.skips.lock().unwrap() = true;
    let new = fleet.change_settings(7);
    sleep(Duration::from_secs(3)).await;
    *platform.skips.lock().unwrap() = false;
    sleep(Duration::from_secs(60)).await;
    let time = fleet.wait_until(|n| fleet_version(n) == new).await;
    record(
        &mut table,
        "all watches skipped a change; a minute later it is in force",
        time,
        SPREAD_BOUND,
    );
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_false_suspicion_is_refuted() {
    let fleet = TestFleet::start(1, 1, 4).await;
    fleet.wait_until_joined().await.unwrap();
    sleep(Duration::from_secs(3)).await;
    fleet.network.partition("vm-000", "vm-001");
    let mut left_out = 0;
    for _ in 0..500 {
        sleep(Duration::from_millis(20)).await;
        left_out += usize::from(fleet.vms.values().any(|vm| serving_peers(&vm.node).len() != 3));
    }
    let refuted: Vec<bool> = (0..4).map(|n| fleet.node(n).heartbeat().refutation > 0).collect();
    insta::assert_snapshot!(format!("left out in {left_out} of 500 samples; refuted: {refuted:?}"));
}

#[tokio::test(start_paused = true)]
async fn a_paused_vm_does_not_suspect_its_peers() {
    let mut fleet = TestFleet::start(1, 1, 3).await;
    fleet.wait_until_joined().await.unwrap();
    let node = fleet.node(0).clone();
    for number in 0..3 {
        fleet.vms.remove(&number).unwrap().task.abort();
    }
    let pauses = node.watch_pauses();
    sleep(Duration::from_millis(100)).await;
    node.sweep_peers();
    let before = (serving_peers(&node).len(), *pauses.borrow());
    advance(Duration::from_secs(30)).await;
    let on_resume = serving_peers(&node).len();
    node.sweep_peers();
    let after = (serving_peers(&node).len(), *pauses.borrow());
    insta::assert_snapshot!(format!("before {before:?}, on resume {on_resume}, after {after:?}"));
}

#[tokio::test(start_paused = true)]
async fn a_vm_at_a_reused_address_replaces_the_previous_one() {
    let fleet = TestFleet::start(1, 1, 3).await;
    fleet.wait_until_joined().await.unwrap();
    let node = fleet.node(0);
    let mut beat = fleet.node(1).heartbeat();
    beat.vm.name = "vm-new".into();
    beat.vm.incarnation += 1000;
    assert!(node.accept_heartbeat(beat.clone()));
    assert_eq!(serving_peers(node), ["vm-002", "vm-new"]);
    let listed = to_platform_vm(&beat.vm);
    assert_eq!(listed.address, fleet.node(1).vm().addresses.peers);
    let (_, state) = Vm::join();
    let isolated =
        EntryNode::new(beat.vm, node.ports().clone(), state, Logger::root(Discard, o!()));
    assert!(serving_peers(&isolated).is_empty());
}
