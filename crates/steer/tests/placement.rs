//! Tests the selection of targets and its limits.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    sync::Arc,
    time::Duration,
};
use steer::{
    LoadSample, ObjectHash, PlacementError, PlacementGuard, PlacementLimits, PlacementQuery,
    RouteTable, ServiceRules, TargetRecord, TargetTable, VmName,
};
use tokio::time::{Instant, advance};

/// Requests per second that a cold target can handle.
const COLD_RATE: f64 = 8.0;
/// Error if the only target is cold and its quota is used up.
const QUOTA_USED_UP: PlacementError = PlacementError::Full(Duration::from_millis(500));

fn target_table() -> Arc<TargetTable> {
    target_table_of("entry-0")
}

fn target_table_of(vm: &str) -> Arc<TargetTable> {
    let zones = [("lis-a", "lisboa"), ("lis-b", "lisboa"), ("por-a", "porto")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let rules = PlacementLimits { cold_burst: 4.0, cold_factor: 1.5, max_shift: 1.0 };
    let here = ("lis-a".into(), "lisboa".into());
    let targets = TargetTable::new(vm.into(), here, BTreeMap::from(zones), rules);
    let rules = ServiceRules { cold_rate: COLD_RATE, cold_time: Duration::from_secs(3) };
    targets.set_rules(&RouteTable::new(1).service("briefs".into(), rules));
    targets.set_vms([vm.into()].into());
    Arc::new(targets)
}

fn target(name: &str, zone: &str) -> TargetRecord {
    TargetRecord::new(name, "briefs", "10.0.0.1:80".parse().unwrap()).slots(2).zone(zone)
}

fn outcome(guard: &Result<PlacementGuard, PlacementError>) -> String {
    match guard {
        Ok(guard) => guard.target().name.to_string(),
        Err(PlacementError::Full(wait)) => format!("full, room in {} ms", wait.as_millis()),
        Err(PlacementError::NoTarget) => "no target".to_owned(),
        Err(
            error @ (PlacementError::BackOff { .. }
            | PlacementError::Limited { .. }
            | PlacementError::Paused { .. }),
        ) => error.to_string(),
    }
}

fn zones(names: &[&str]) -> BTreeSet<steer::AvailabilityZoneName> {
    names.iter().map(|name| (*name).into()).collect()
}

#[tokio::test(start_paused = true)]
async fn skips_unusable_targets() {
    type Disruption = fn(&Arc<TargetTable>);
    let cases: [(&str, Disruption); 7] = [
        ("sound", |_| {}),
        ("evacuated zone", |table| table.set_evacuated(zones(&["lis-a"]))),
        ("leaving", |table| table.apply(target("near", "lis-a").sequence(1).leaving(true))),
        ("removed", |table| table.remove(&"near".into())),
        ("address taken by another", |table| {
            table.place_request(&PlacementQuery::new("briefs")).unwrap().record_misdirected();
        }),
        ("connection lost", |table| {
            table.place_request(&PlacementQuery::new("briefs")).unwrap().record_lost();
        }),
        ("moved to another service", |table| {
            let moved = TargetRecord::new("near", "media", "10.0.0.1:80".parse().unwrap());
            table.apply(moved.slots(2).zone("lis-a"));
        }),
    ];
    let mut table = String::new();
    for (name, change) in cases {
        let targets = target_table();
        targets.apply(target("near", "lis-a"));
        targets.apply(target("far", "por-a"));
        change(&targets);
        let (all, homes) = (PlacementQuery::new("briefs"), PlacementQuery::new("briefs"));
        let homes = homes.homes(["lisboa".into()].into());
        let (all, homes) = (targets.place_request(&all), targets.place_request(&homes));
        writeln!(table, "{name}: {}; at home in lisboa: {}", outcome(&all), outcome(&homes))
            .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Returns how many requests all VMs together send to a cold target in one burst.
fn burst(vms: u32, change: impl Fn(&Arc<TargetTable>)) -> u32 {
    let names: BTreeSet<VmName> = (0..vms).map(|i| format!("entry-{i}").into()).collect();
    let mut sent = 0;
    for name in &names {
        let targets = target_table_of(name.as_str());
        targets.set_vms(names.clone());
        targets.apply(target("cold", "lis-a"));
        change(&targets);
        sent += (0..50)
            .filter(|_| targets.place_request(&PlacementQuery::new("briefs")).is_ok())
            .count() as u32;
    }
    sent
}

#[tokio::test(start_paused = true)]
async fn all_vms_together_limit_requests_to_a_cold_target() {
    let bound = (COLD_RATE * 1.5 + 4.0) as u32;
    let mut table = String::new();
    for vms in [1, 3, 8, 14, 40] {
        let started = burst(vms, |table| {
            table.apply(target("cold", "lis-a").sequence(1).cold_left(Duration::from_secs(3)));
        });
        let restarted = burst(vms, |table| {
            table.apply(target("cold", "lis-a").born(7).cold_left(Duration::from_secs(3)));
        });
        let returned = burst(vms, |table| {
            table.set_evacuated(zones(&["lis-a"]));
            table.set_evacuated(zones(&[]));
        });
        for sent in [started, restarted, returned] {
            assert!(sent <= bound, "{vms} VMs sent {sent}, bound {bound}");
        }
        writeln!(
            table,
            "{vms} VMs: started {started}, restarted {restarted}, zone back {returned}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_cold_target_gets_more_after_a_second_and_all_when_warm() {
    let targets = target_table();
    targets.apply(target("cold", "lis-a").sequence(1).cold_left(Duration::from_secs(3)));
    let send = || {
        (0..50).filter(|_| targets.place_request(&PlacementQuery::new("briefs")).is_ok()).count()
    };
    let first = send();
    advance(Duration::from_millis(1_200)).await;
    let second = send();
    advance(Duration::from_secs(3)).await;
    assert_eq!((first, second, send()), (16, 16, 50));
}

#[tokio::test(start_paused = true)]
async fn an_object_uses_few_targets_and_prefers_one_that_cached_it() {
    let targets = target_table();
    for i in 0..12 {
        targets.apply(target(&format!("t-{i}"), "lis-a").slots(50));
    }
    let query = PlacementQuery::new("briefs").object(Some(ObjectHash::new("reads", b"17")));
    let guards: Vec<PlacementGuard> =
        (0..400).map(|_| targets.place_request(&query).unwrap()).collect();
    let used: BTreeSet<_> = guards.iter().map(|guard| guard.target().name.clone()).collect();
    assert_eq!(used.len(), TargetTable::REPLICAS);
    let second =
        guards.iter().find(|guard| guard.target().name != guards[0].target().name).unwrap();
    let warm = second.target().name.clone();
    advance(Duration::from_millis(300)).await;
    second.record_work();
    drop(guards);
    assert_eq!(targets.place_request(&query).unwrap().target().name, warm);
}

#[tokio::test(start_paused = true)]
async fn refuses_requests_that_would_wait_too_long() {
    let mut table = String::new();
    for waiting in [0, 2, 6] {
        let targets = target_table();
        targets.apply(target("only", "lis-a"));
        let load = LoadSample { running: 2, slots: 2, slowness: 1.0, waiting };
        targets
            .place_request(&PlacementQuery::new("briefs"))
            .unwrap()
            .record_response(Some(load), false);
        for ms in [100, 400, 2_000] {
            let query = PlacementQuery::new("briefs").max_wait(Duration::from_millis(ms));
            let guard = targets.place_request(&query);
            writeln!(table, "{waiting} wait, max wait {ms} ms: {}", outcome(&guard)).unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn large_bodies_stay_in_their_zone_until_it_is_crowded() {
    let targets = target_table();
    targets.apply(target("near", "lis-a"));
    targets.apply(target("region", "lis-b"));
    targets.apply(target("far", "por-a"));
    let query = PlacementQuery::new("briefs").streamed(true);
    let guards: Vec<PlacementGuard> =
        (0..8).map(|_| targets.place_request(&query).unwrap()).collect();
    let names: Vec<&str> = guards.iter().map(|guard| guard.target().name.as_str()).collect();
    insta::assert_snapshot!(names.join(" "));
}

#[tokio::test(start_paused = true)]
async fn backoff_after_lost_connections_grows_and_ends() {
    let targets = target_table();
    targets.apply(target("only", "lis-a"));
    let mut pauses = Vec::new();
    for _ in 0..6 {
        let lost = targets.place_request(&PlacementQuery::new("briefs")).unwrap();
        lost.record_lost();
        let since = Instant::now();
        while targets.place_request(&PlacementQuery::new("briefs")).is_err() {
            advance(Duration::from_millis(50)).await;
        }
        pauses.push(since.elapsed().as_millis());
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000, 2_000]);
}

/// Returns, for each second, how many of a hundred requests run in another region. The near
/// target is overloaded from the fourth second on.
async fn moved(max_shift: f64, change: impl Fn(&Arc<TargetTable>)) -> Vec<u32> {
    let zones = [("lis-a", "lisboa"), ("por-a", "porto")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let rules = PlacementLimits { cold_burst: 0.0, cold_factor: 1.0, max_shift };
    let here = ("lis-a".into(), "lisboa".into());
    let targets = Arc::new(TargetTable::new("entry-0".into(), here, BTreeMap::from(zones), rules));
    targets.apply(target("near", "lis-a").slots(100));
    targets.apply(target("far", "por-a").slots(100));
    let mut moved = vec![0; 9];
    for (second, moved) in moved.iter_mut().enumerate() {
        for _ in 0..100 {
            advance(Duration::from_millis(10)).await;
            let guard = targets.place_request(&PlacementQuery::new("briefs")).unwrap();
            let near = guard.target().name.as_str() == "near";
            *moved += u32::from(!near);
            if near && second >= 3 {
                let load = LoadSample { running: 100, slots: 100, slowness: 9.0, waiting: 400 };
                guard.record_response(Some(load), false);
            }
        }
        if second == 3 {
            change(&targets);
        }
    }
    moved
}

#[tokio::test(start_paused = true)]
async fn traffic_moves_between_regions_within_the_limit() {
    let free = moved(1.0, |_| {}).await;
    let bound = moved(0.15, |_| {}).await;
    let lost = moved(0.15, |targets| targets.remove(&"another".into())).await;
    insta::assert_snapshot!(format!("free: {free:?}\nbound: {bound:?}\ntargets lost: {lost:?}"));
}

/// Returns the targets of three uploads from each of 12 VMs in a zone, with counts, most used
/// first.
fn spread(object: Option<&[u8]>) -> Vec<(usize, String)> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for vm in 0..12 {
        let targets = target_table_of(&format!("entry-{vm}"));
        for i in 0..24 {
            targets.apply(target(&format!("t-{i:02}"), ["lis-a", "lis-b", "por-a"][i % 3]));
        }
        let object = object.map(|object| ObjectHash::new("uploads", object));
        let query = PlacementQuery::new("briefs").streamed(true).object(object);
        let guards: Vec<PlacementGuard> =
            (0..3).map(|_| targets.place_request(&query).unwrap()).collect();
        for guard in guards {
            assert_eq!(guard.target().zone.as_str(), "lis-a");
            *counts.entry(guard.target().name.to_string()).or_default() += 1;
        }
    }
    let mut counts: Vec<_> = counts.into_iter().map(|(name, count)| (count, name)).collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts
}

#[tokio::test(start_paused = true)]
async fn uploads_of_many_vms_spread_over_the_targets_of_their_zone() {
    let mut table = String::new();
    writeln!(table, "without an object: {:?}", spread(None)).unwrap();
    for object in ["a", "b", "c", "d"] {
        writeln!(table, "object {object}: {:?}", spread(Some(object.as_bytes()))).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_cold_target_gets_nothing_before_the_fleet_is_known() {
    let targets = target_table();
    targets.apply(target("cold", "lis-a").sequence(1).cold_left(Duration::from_secs(3)));
    targets.set_vms(BTreeSet::new());
    assert_eq!(targets.place_request(&PlacementQuery::new("briefs")).map(drop), Err(QUOTA_USED_UP));
    targets.set_vms(["entry-0".into()].into());
    assert!(targets.place_request(&PlacementQuery::new("briefs")).is_ok());
}
