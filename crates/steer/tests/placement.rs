//! Tests target selection.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    sync::Arc,
    time::Duration,
};
use steer::{
    BoardRules, LoadSample, NoSeat, ObjectHash, PlaceQuery, RouteTable, Seat, ServiceRules,
    TargetBoard, TargetRecord, VmName,
};
use tokio::time::{Instant, advance};

const RATE: f64 = 8.0;
/// Error if the only target is cold and its quota is used up.
const COLD: NoSeat = NoSeat::Full(Duration::from_millis(500));

fn board() -> Arc<TargetBoard> {
    board_of("entry-0")
}

fn board_of(vm: &str) -> Arc<TargetBoard> {
    let zones = [("lis-a", "lisboa"), ("lis-b", "lisboa"), ("por-a", "porto")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let rules = BoardRules { cold_burst: 4.0, cold_factor: 1.5, max_shift: 1.0 };
    let here = ("lis-a".into(), "lisboa".into());
    let board = TargetBoard::new(vm.into(), here, BTreeMap::from(zones), rules);
    let rules = ServiceRules { cold_rate: RATE, cold_time: Duration::from_secs(3) };
    board.set_rules(&RouteTable::new(1).service("briefs".into(), rules));
    board.set_vms([vm.into()].into());
    Arc::new(board)
}

fn target(name: &str, zone: &str) -> TargetRecord {
    TargetRecord::new(name, "briefs", "10.0.0.1:80".parse().unwrap()).slots(2).zone(zone)
}

fn outcome(seat: &Result<Seat, NoSeat>) -> String {
    match seat {
        Ok(seat) => seat.target().name.to_string(),
        Err(NoSeat::Full(wait)) => format!("full, room in {} ms", wait.as_millis()),
        Err(NoSeat::NoTarget) => "no target".to_owned(),
    }
}

fn zones(names: &[&str]) -> BTreeSet<steer::AvailabilityZoneName> {
    names.iter().map(|name| (*name).into()).collect()
}

#[tokio::test(start_paused = true)]
async fn skips_unusable_targets() {
    type Change = fn(&Arc<TargetBoard>);
    let cases: [(&str, Change); 7] = [
        ("sound", |_| {}),
        ("evacuated zone", |b| b.set_evacuated(zones(&["lis-a"]))),
        ("leaving", |b| b.apply(target("near", "lis-a").report(1).leaving(true))),
        ("removed", |b| b.remove(&"near".into())),
        ("address taken by another", |b| b.place(&PlaceQuery::new("briefs")).unwrap().note_gone()),
        ("connection lost", |b| b.place(&PlaceQuery::new("briefs")).unwrap().note_lost()),
        ("moved to another service", |b| {
            let moved = TargetRecord::new("near", "media", "10.0.0.1:80".parse().unwrap());
            b.apply(moved.slots(2).zone("lis-a"));
        }),
    ];
    let mut table = String::new();
    for (name, change) in cases {
        let board = board();
        board.apply(target("near", "lis-a"));
        board.apply(target("far", "por-a"));
        change(&board);
        let (all, homes) = (PlaceQuery::new("briefs"), PlaceQuery::new("briefs"));
        let homes = homes.homes(["lisboa".into()].into());
        let (all, homes) = (board.place(&all), board.place(&homes));
        writeln!(table, "{name}: {}; at home in lisboa: {}", outcome(&all), outcome(&homes))
            .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Returns how many requests all VMs together send to a cold target in one burst.
fn burst(vms: u32, change: impl Fn(&Arc<TargetBoard>)) -> u32 {
    let names: BTreeSet<VmName> = (0..vms).map(|i| format!("entry-{i}").into()).collect();
    let mut sent = 0;
    for name in &names {
        let board = board_of(name.as_str());
        board.set_vms(names.clone());
        board.apply(target("cold", "lis-a"));
        change(&board);
        sent += (0..50).filter(|_| board.place(&PlaceQuery::new("briefs")).is_ok()).count() as u32;
    }
    sent
}

#[tokio::test(start_paused = true)]
async fn all_vms_together_limit_requests_to_a_cold_target() {
    let bound = (RATE * 1.5 + 4.0) as u32;
    let mut table = String::new();
    for vms in [1, 3, 8, 14, 40] {
        let started = burst(vms, |b| {
            b.apply(target("cold", "lis-a").report(1).cold_left(Duration::from_secs(3)));
        });
        let reborn = burst(vms, |b| {
            b.apply(target("cold", "lis-a").born(7).cold_left(Duration::from_secs(3)));
        });
        let returned = burst(vms, |b| {
            b.set_evacuated(zones(&["lis-a"]));
            b.set_evacuated(zones(&[]));
        });
        for sent in [started, reborn, returned] {
            assert!(sent <= bound, "{vms} VMs sent {sent}, bound {bound}");
        }
        writeln!(table, "{vms} VMs: started {started}, reborn {reborn}, zone back {returned}")
            .unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_cold_target_gets_more_after_a_second_and_all_when_warm() {
    let board = board();
    board.apply(target("cold", "lis-a").report(1).cold_left(Duration::from_secs(3)));
    let send = || (0..50).filter(|_| board.place(&PlaceQuery::new("briefs")).is_ok()).count();
    let first = send();
    advance(Duration::from_millis(1_200)).await;
    let second = send();
    advance(Duration::from_secs(3)).await;
    assert_eq!((first, second, send()), (16, 16, 50));
}

#[tokio::test(start_paused = true)]
async fn an_object_uses_few_targets_and_prefers_one_that_cached_it() {
    let board = board();
    for i in 0..12 {
        board.apply(target(&format!("t-{i}"), "lis-a").slots(50));
    }
    let query = PlaceQuery::new("briefs").object(Some(ObjectHash::new("reads", b"17")));
    let seats: Vec<Seat> = (0..400).map(|_| board.place(&query).unwrap()).collect();
    let used: BTreeSet<_> = seats.iter().map(|seat| seat.target().name.clone()).collect();
    assert_eq!(used.len(), TargetBoard::REPLICAS);
    let second = seats.iter().find(|seat| seat.target().name != seats[0].target().name).unwrap();
    let warm = second.target().name.clone();
    advance(Duration::from_millis(300)).await;
    second.note_work();
    drop(seats);
    assert_eq!(board.place(&query).unwrap().target().name, warm);
}

#[tokio::test(start_paused = true)]
async fn refuses_requests_that_would_wait_too_long() {
    let mut table = String::new();
    for waiting in [0, 2, 6] {
        let board = board();
        board.apply(target("only", "lis-a"));
        let load = LoadSample { running: 2, slots: 2, slowness: 1.0, waiting };
        board.place(&PlaceQuery::new("briefs")).unwrap().note_answer(Some(load), false);
        for ms in [100, 400, 2_000] {
            let query = PlaceQuery::new("briefs").patience(Duration::from_millis(ms));
            let seat = board.place(&query);
            writeln!(table, "{waiting} wait, patience {ms} ms: {}", outcome(&seat)).unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn large_bodies_stay_in_their_zone_until_it_is_crowded() {
    let board = board();
    board.apply(target("near", "lis-a"));
    board.apply(target("region", "lis-b"));
    board.apply(target("far", "por-a"));
    let query = PlaceQuery::new("briefs").streamed(true);
    let seats: Vec<Seat> = (0..8).map(|_| board.place(&query).unwrap()).collect();
    let names: Vec<&str> = seats.iter().map(|seat| seat.target().name.as_str()).collect();
    insta::assert_snapshot!(names.join(" "));
}

#[tokio::test(start_paused = true)]
async fn backoff_after_lost_connections_grows_and_ends() {
    let board = board();
    board.apply(target("only", "lis-a"));
    let mut pauses = Vec::new();
    for _ in 0..6 {
        let lost = board.place(&PlaceQuery::new("briefs")).unwrap();
        lost.note_lost();
        let since = Instant::now();
        while board.place(&PlaceQuery::new("briefs")).is_err() {
            advance(Duration::from_millis(50)).await;
        }
        pauses.push(since.elapsed().as_millis());
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000, 2_000]);
}

/// Returns, for each second, how many of a hundred requests run in another region. The near
/// target is overloaded from the fourth second on.
async fn moved(max_shift: f64, change: impl Fn(&Arc<TargetBoard>)) -> Vec<u32> {
    let zones = [("lis-a", "lisboa"), ("por-a", "porto")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let rules = BoardRules { cold_burst: 0.0, cold_factor: 1.0, max_shift };
    let here = ("lis-a".into(), "lisboa".into());
    let board = Arc::new(TargetBoard::new("entry-0".into(), here, BTreeMap::from(zones), rules));
    board.apply(target("near", "lis-a").slots(100));
    board.apply(target("far", "por-a").slots(100));
    let mut moved = vec![0; 9];
    for (second, moved) in moved.iter_mut().enumerate() {
        for _ in 0..100 {
            advance(Duration::from_millis(10)).await;
            let seat = board.place(&PlaceQuery::new("briefs")).unwrap();
            let near = seat.target().name.as_str() == "near";
            *moved += u32::from(!near);
            if near && second >= 3 {
                let load = LoadSample { running: 100, slots: 100, slowness: 9.0, waiting: 400 };
                seat.note_answer(Some(load), false);
            }
        }
        if second == 3 {
            change(&board);
        }
    }
    moved
}

#[tokio::test(start_paused = true)]
async fn traffic_moves_between_regions_within_the_limit() {
    let free = moved(1.0, |_| {}).await;
    let bound = moved(0.15, |_| {}).await;
    let lost = moved(0.15, |board| board.remove(&"another".into())).await;
    insta::assert_snapshot!(format!("free: {free:?}\nbound: {bound:?}\ntargets lost: {lost:?}"));
}

/// Returns the targets of three uploads from each of 12 VMs in a zone, with counts, most used
/// first.
fn spread(object: Option<&[u8]>) -> Vec<(usize, String)> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for vm in 0..12 {
        let board = board_of(&format!("entry-{vm}"));
        for i in 0..24 {
            board.apply(target(&format!("t-{i:02}"), ["lis-a", "lis-b", "por-a"][i % 3]));
        }
        let object = object.map(|object| ObjectHash::new("uploads", object));
        let query = PlaceQuery::new("briefs").streamed(true).object(object);
        let seats: Vec<Seat> = (0..3).map(|_| board.place(&query).unwrap()).collect();
        for seat in seats {
            assert_eq!(seat.target().zone.as_str(), "lis-a");
            *counts.entry(seat.target().name.to_string()).or_default() += 1;
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
    let board = board();
    board.apply(target("cold", "lis-a").report(1).cold_left(Duration::from_secs(3)));
    board.set_vms(BTreeSet::new());
    assert_eq!(board.place(&PlaceQuery::new("briefs")).map(drop), Err(COLD));
    board.set_vms(["entry-0".into()].into());
    assert!(board.place(&PlaceQuery::new("briefs")).is_ok());
}
