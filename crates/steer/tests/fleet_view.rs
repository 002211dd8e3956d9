//! Tests which VMs an entry VM sends hellos to, and which ones it lists for callers.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod routers;

use routers::vm;
use std::{collections::BTreeSet, fmt::Write, net::SocketAddr, time::Duration};
use steer::{FleetView, VmHello, VmName, VmRecord, ZoneReport};
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

/// Hello that reports the live VMs of the sender's zone.
fn hello(vm: &VmRecord, live: &[&VmRecord]) -> VmHello {
    let live = live.iter().map(|vm| vm.name.clone()).collect();
    let report = ZoneReport::new(vm.zone.clone(), live);
    VmHello { reports: Some(vec![report]), ..VmHello::new(vm.clone()) }
}

/// Hello of a VM of a version that reports the live VMs of its region, and reads no reports.
fn hello_of_region(vm: &VmRecord, live: &[&VmRecord]) -> VmHello {
    let live = live.iter().map(|vm| vm.name.clone()).collect();
    VmHello { live, reports: None, ..VmHello::new(vm.clone()) }
}

/// The view of the first VM, which has read the registry.
fn view_of(vms: &[VmRecord]) -> FleetView {
    let view = FleetView::new(vms[0].clone());
    vms.iter().for_each(|vm| view.add_registered(vm.clone()));
    view.set_registry_read(&vms.iter().map(|vm| vm.name.clone()).collect());
    view
}

fn names(vms: &[VmRecord], peers: &BTreeSet<SocketAddr>) -> String {
    let found = vms.iter().filter(|vm| peers.contains(&vm.peers));
    let found: Vec<String> = found.map(|vm| vm.name.to_string()).collect();
    found.join(" ")
}

#[tokio::test(start_paused = true)]
async fn sends_hellos_to_all_of_a_small_fleet_and_to_delegates_of_a_large_one() {
    let mut table = String::new();
    for count in [4, 16, 17, 24] {
        let vms = vms(count);
        for own in [0, 1, 2] {
            let mut order = vms.clone();
            order.swap(0, own);
            let view = view_of(&order);
            view.set_seeds([vms[1].peers, "10.0.0.250:81".parse().unwrap()]);
            let listed = view.hello_peers();
            for vm in vms.iter().filter(|vm| vm.name.as_str() != "entry-10") {
                view.record_hello(VmHello::new(vm.clone()));
            }
            advance(FleetView::HELLO_PERIOD * 4).await;
            for vm in vms.iter().filter(|vm| vm.name.as_str() != "entry-10") {
                view.record_hello(VmHello::new(vm.clone()));
            }
            let (heard, tree) = (view.hello_peers(), view.tree());
            let name = &vms[own].name;
            writeln!(table, "{name} of {count}, {:?}, {} addresses", tree.role(), listed.len())
                .unwrap();
            writeln!(table, "  none heard: {}", names(&vms, &listed)).unwrap();
            writeln!(table, "  entry-10 not heard: {}", names(&vms, &heard)).unwrap();
            let upstreams = tree.upstreams().iter();
            let upstreams = upstreams.map(|address| names(&vms, &BTreeSet::from([*address])));
            let upstreams: Vec<String> = upstreams.collect();
            writeln!(table, "  polls: {}", upstreams.join(" ")).unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn vms_of_another_region_are_listed_while_a_delegate_reports_them() {
    let vms = vms(24);
    let porto: Vec<&VmRecord> = vms.iter().filter(|vm| vm.region.as_str() == "porto").collect();
    let mut table = String::new();
    for (version, hello) in [("this", hello as fn(&_, &[&_]) -> _), ("earlier", hello_of_region)] {
        let view = view_of(&vms);
        let mut note = |text: &str| {
            let found = view.caller_addresses("porto-a", "porto", &BTreeSet::new());
            let listed = porto.iter().filter(|vm| found.contains(&vm.callers));
            let listed: Vec<&str> = listed.map(|vm| vm.name.as_str()).collect();
            writeln!(table, "{version} version, {text}: {}", listed.join(" ")).unwrap();
        };
        note("none heard");
        view.record_hello(hello(porto[0], &porto[1..5]));
        note("a delegate with four");
        advance(Duration::from_millis(2_100)).await;
        view.record_hello(hello(porto[0], &porto[2..5]));
        note("one of them lost");
        advance(Duration::from_millis(3_900)).await;
        note("3.9 s of silence");
        advance(Duration::from_secs(2)).await;
        note("5.9 s of silence");
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn only_delegates_of_a_large_fleet_report_their_live_vms() {
    let mut reporting: Vec<VmName> = Vec::new();
    let vms = vms(24);
    for (number, own) in vms.iter().enumerate() {
        let mut order = vms.clone();
        order.swap(0, number);
        let view = view_of(&order);
        vms.iter().for_each(|vm| view.record_hello(VmHello::new(vm.clone())));
        let reports = vms.iter().any(|vm| !view.hello_to(vm).reports.unwrap().is_empty());
        reporting.extend(reports.then(|| own.name.clone()));
    }
    insta::assert_debug_snapshot!(reporting);
}

#[tokio::test(start_paused = true)]
async fn names_are_reported_once_and_again_on_request() {
    let vms = vms(24);
    let delegate = vms.iter().position(|vm| vm.capacity == 500 && vm.zone.as_str() == "faro-a");
    let mut order = vms.clone();
    order.swap(0, delegate.unwrap());
    let view = view_of(&order);
    vms.iter().for_each(|vm| view.record_hello(VmHello::new(vm.clone())));
    let peer = vms.iter().find(|vm| vm.capacity == 100 && vm.zone.as_str() == "faro-a").unwrap();
    let mut table = String::new();
    let mut note = |text: &str| {
        let reports = view.hello_to(peer).reports.unwrap();
        let count = |report: &ZoneReport| report.live.as_ref().map(|live| live.len());
        let counts: Vec<_> = reports.iter().map(count).collect();
        writeln!(table, "{text}: {counts:?}").unwrap();
    };
    note("first hello");
    note("second hello");
    let wanted = BTreeSet::from([peer.zone.clone()]);
    view.record_hello(VmHello { wanted, ..VmHello::new(peer.clone()) });
    note("after names were missing");
    let gone = vms.iter().rfind(|vm| vm.zone == peer.zone).unwrap();
    view.record_hello(VmHello { leaving: true, ..VmHello::new(gone.clone()) });
    note("after a VM began to leave");
    view.record_no_reply(peer.peers);
    note("after no reply");
    let restarted = VmRecord { incarnation: 2, ..peer.clone() };
    view.record_hello(VmHello::new(restarted));
    note("after a restart of the peer");
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_refused_is_listed_again_only_after_a_later_report() {
    let vms = vms(24);
    let view = view_of(&vms);
    let near: Vec<&VmRecord> = vms.iter().filter(|vm| vm.zone.as_str() == "faro-a").collect();
    view.record_hello(hello(near[1], &near));
    advance(Duration::from_millis(300)).await;
    let is_listed = || {
        let found = view.caller_addresses("faro-a", "faro", &BTreeSet::new());
        found.contains(&near[2].callers)
    };
    assert!(is_listed());
    view.record_refused(near[2].peers);
    assert!(!is_listed());
    advance(Duration::from_millis(300)).await;
    view.record_hello(hello(near[1], &near));
    assert!(is_listed());
}

#[tokio::test(start_paused = true)]
async fn a_listing_removes_vms_that_are_gone_for_good() {
    let vms = vms(24);
    let view = view_of(&vms);
    view.record_hello(VmHello::new(vms[3].clone()));
    view.set_registry_read(&vms.iter().take(2).map(|vm| vm.name.clone()).collect());
    let known: Vec<String> = view.known().iter().map(ToString::to_string).collect();
    assert_eq!(known, ["entry-00", "entry-01", "entry-03"]);
}
