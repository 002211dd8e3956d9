//! Time until joins, settings changes, drains and lost VMs are known in the whole fleet, by fleet
//! shape.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{TestFleet, fleet_version, format_time, serving_peers};
use std::{fmt::Write, time::Duration};
use tokio::time::sleep;

const SETTINGS_BOUND: Duration = Duration::from_secs(2);
const LOSS_BOUND: Duration = Duration::from_secs(2);
const DRAIN_BOUND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn fleets_of_all_shapes_converge_within_the_bounds() {
    let mut table = String::new();
    let mut within = true;
    writeln!(table, "all within the bounds\nregions zones vms | peers at most").unwrap();
    for (regions, zones, vms) in [(1, 1, 2), (3, 2, 1), (3, 2, 2), (4, 3, 4), (1, 1, 25)] {
        let mut fleet = TestFleet::start(regions, zones, vms).await;
        let joined = fleet.wait_until_joined().await;
        sleep(Duration::from_secs(3)).await;
        let new = fleet.change_settings(1);
        let settings = fleet.wait_until(|n| fleet_version(n) == new).await;
        let peers = fleet.vms.values().map(|vm| vm.node.heartbeat_plan().periods.len()).max();
        let leaving = fleet.vms.remove(&0).unwrap();
        let name = leaving.node.vm().name.to_string();
        leaving.stop.notify_one();
        let drained = fleet.wait_until(|n| !serving_peers(n).contains(&name)).await;
        sleep(Duration::from_secs(3)).await;
        let name = fleet.kill(1).vm().name.to_string();
        let gone = fleet.wait_until(|n| !serving_peers(n).contains(&name)).await;
        println!(
            "{regions} {zones} {vms}: joined {}, settings {}, drained {}, gone {}",
            format_time(joined),
            format_time(settings),
            format_time(drained),
            format_time(gone)
        );
        let peers = peers.unwrap();
        writeln!(table, "{regions:>7} {zones:>5} {vms:>3} | {peers:>13}").unwrap();
        within &= joined.is_some();
        within &= settings.is_some_and(|t| t <= SETTINGS_BOUND);
        within &= drained.is_some_and(|t| t <= DRAIN_BOUND);
        within &= gone.is_some_and(|t| t <= LOSS_BOUND);
    }
    assert!(within, "a time printed above exceeds its bound");
    insta::assert_snapshot!(table);
}
