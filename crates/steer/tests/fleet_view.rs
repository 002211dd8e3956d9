//! Tests which VMs an entry VM sends hellos to, and which ones it lists for callers.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod routers;

use routers::vm;
use std::{collections::BTreeSet, fmt::Write, net::SocketAddr, time::Duration};
use steer::{FleetView, VmHello, VmName, VmRecord};
use tokio::time::advance;

const REGIONS: [&str; 3] = ["faro", "lisboa", "porto"];

/// VMs distributed round-robin over the regions; every fifth has more CPU capacity.
fn vms(count: u8) -> Vec<VmRecord> {
    let make_vm = |number: u8| {
        let region = REGIONS[usize::from(number) % REGIONS.len()];
        let mut vm = vm(&format!("entry-{number:02}"), number, &format!("{region}-a"), region);
        vm.capacity = if number.is_multiple_of(5) { 500 } else { 100 };
        vm
    };
    (0..count).map(make_vm).collect()
}

fn hello(vm: &VmRecord, live: &[&VmRecord]) -> VmHello {
    let live = live.iter().map(|vm| vm.name.clone()).collect();
    VmHello { leaving: false, limits: Vec::new(), live, store_lost: false, vm: vm.clone() }
}

fn names(vms: &[VmRecord], peers: &BTreeSet<SocketAddr>) -> String {
    let found = vms.iter().filter(|vm| peers.contains(&vm.peers));
    let found: Vec<String> = found.map(|vm| vm.name.to_string()).collect();
    found.join(" ")
}

#[tokio::test(start_paused = true)]
async fn sends_hellos_to_all_of_a_small_fleet_and_to_remote_delegates_of_a_large_one() {
    let mut table = String::new();
    for count in [4, 16, 17, 24] {
        let vms = vms(count);
        let view = FleetView::new(vms[0].clone());
        view.set_seeds([vms[1].peers, "10.0.0.250:81".parse().unwrap()]);
        vms.iter().for_each(|vm| view.add_registered(vm.clone()));
        let listed = view.hello_peers();
        for vm in vms.iter().filter(|vm| vm.name.as_str() != "entry-10") {
            view.record_hello(hello(vm, &[]));
        }
        let heard = view.hello_peers();
        let delegates: Vec<String> = view.delegates().iter().map(|v| v.name.to_string()).collect();
        writeln!(table, "{count} VMs, {} addresses", listed.len()).unwrap();
        writeln!(table, "  none heard: {}", names(&vms, &listed)).unwrap();
        writeln!(table, "  entry-10 not heard: {}", names(&vms, &heard)).unwrap();
        writeln!(table, "  delegates here: {}", delegates.join(" ")).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn vms_of_another_region_are_listed_while_a_delegate_reports_them() {
    let vms = vms(24);
    let view = FleetView::new(vms[0].clone());
    vms.iter().for_each(|vm| view.add_registered(vm.clone()));
    let porto: Vec<&VmRecord> = vms.iter().filter(|vm| vm.region.as_str() == "porto").collect();
    let mut table = String::new();
    let mut note = |text: &str| {
        let found = view.caller_addresses("porto-a", "porto", &BTreeSet::new());
        let listed = porto.iter().filter(|vm| found.contains(&vm.callers));
        let listed: Vec<&str> = listed.map(|vm| vm.name.as_str()).collect();
        writeln!(table, "{text}: {}", listed.join(" ")).unwrap();
    };
    note("none heard");
    view.record_hello(hello(porto[0], &porto[1..5]));
    note("a delegate with four");
    advance(Duration::from_millis(2_100)).await;
    view.record_hello(hello(porto[0], &porto[2..5]));
    note("one of them lost");
    advance(Duration::from_secs(4)).await;
    note("4 s of silence");
    advance(Duration::from_secs(2)).await;
    note("6 s of silence");
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn only_delegates_of_a_large_fleet_report_their_live_vms() {
    let mut reporting: Vec<VmName> = Vec::new();
    let vms = vms(24);
    for own in &vms {
        let view = FleetView::new(own.clone());
        vms.iter().for_each(|vm| view.record_hello(hello(vm, &[])));
        assert!(view.hello_to(&own.region).live.is_empty());
        let reports = vms.iter().any(|vm| !view.hello_to(&vm.region).live.is_empty());
        reporting.extend(reports.then(|| own.name.clone()));
    }
    insta::assert_debug_snapshot!(reporting);
}
