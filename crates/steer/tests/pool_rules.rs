//! Rules of a pool: permits never exceed the slots, no slot is lost, and classes keep their limits.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::{Arbitrary, Gen};
use std::{fmt::Write, sync::Arc, time::Duration};
use steer::{
    LoadReport, MemberName, MemberSettings, MemberWeights, Permit, RepeatRule, SlotRequest,
    TargetName, TargetPool, TargetSettings, Urgency,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, advance, sleep},
};

const CASES: u64 = 150;
const STEPS: usize = 200;

fn pool_of(targets: usize, slots: u32) -> Arc<TargetPool> {
    let pool = Arc::new(TargetPool::default());
    let targets: Vec<(TargetName, TargetSettings)> = (0..targets)
        .map(|i| {
            let address = format!("127.0.0.1:{i}").parse().unwrap();
            let settings = TargetSettings { address, connections: 9, slots, zone: "z".into() };
            (TargetName::from(format!("t-{i:02}")), settings)
        })
        .collect();
    pool.set_targets(targets.iter().map(|(name, settings)| (name, settings, false)));
    let members = [("a", 2), ("b", 1)].map(|(n, weight)| (n.into(), MemberSettings { weight }));
    pool.set_members(MemberWeights::new(members.iter().map(|(n, s): &(MemberName, _)| (n, s))));
    pool
}

fn slot_request(class: &str, urgency: Urgency, share: f64) -> SlotRequest {
    let deadline = Instant::now() + Duration::from_secs(100);
    SlotRequest::new(class, "a", deadline).urgency(urgency).slot_share(share)
}

/// Brings every target to its full limit, including ejected ones.
async fn warm_up(pool: &Arc<TargetPool>) {
    for _ in 0..400 {
        let read = slot_request("read", Urgency::Interactive, 1.0)
            .bodyless(true)
            .repeat(RepeatRule::Idempotent);
        let mut permit = pool.admit(&read).await.unwrap();
        sleep(Duration::from_millis(5)).await;
        permit.record_response();
    }
}

fn spawn(pool: &Arc<TargetPool>, request: SlotRequest) -> JoinHandle<Option<Permit>> {
    let pool = Arc::clone(pool);
    tokio::spawn(async move { pool.admit(&request).await.ok() })
}

async fn settle() {
    sleep(Duration::from_millis(1)).await;
}

/// The permits that `count` simultaneous requests of one class get without waiting.
async fn granted(pool: &Arc<TargetPool>, count: usize, request: &SlotRequest) -> Vec<Permit> {
    let tasks: Vec<_> = (0..count).map(|_| spawn(pool, request.clone())).collect();
    settle().await;
    let mut permits = Vec::new();
    for task in tasks {
        if task.is_finished() {
            permits.extend(task.await.unwrap());
        } else {
            task.abort();
        }
    }
    settle().await;
    permits
}

#[tokio::test(start_paused = true)]
async fn limits_each_class_to_its_slots() {
    let cases = [
        ("read", Urgency::Interactive, 1.0),
        ("upload", Urgency::Bulk, 0.67),
        ("cut", Urgency::Bulk, 0.5),
        ("all", Urgency::Bulk, 1.0),
        ("report", Urgency::Deferrable, 1.0),
    ];
    let mut table = String::new();
    for (class, urgency, share) in cases {
        let pool = pool_of(2, 6);
        warm_up(&pool).await;
        sleep(Duration::from_secs(10)).await;
        let permits = granted(&pool, 40, &slot_request(class, urgency, share)).await;
        let on_first = permits.iter().filter(|p| p.target().as_str() == "t-00").count();
        let after = granted(&pool, 40, &slot_request("read", Urgency::Interactive, 1.0)).await;
        writeln!(
            table,
            "{class:<6} {share:.2}: {:>2} of 12 slots, {on_first} of 6 on one target, {:>2} left for reads",
            permits.len(),
            after.len()
        )
        .unwrap();
        assert!(permits.len() + after.len() <= 12);
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn refuses_at_once_requests_that_would_miss_their_deadline() {
    let mut table = String::new();
    for deadline_ms in [1, 4, 20, 40, 1_000] {
        let pool = pool_of(1, 2);
        warm_up(&pool).await;
        let read = slot_request("read", Urgency::Interactive, 1.0);
        let _held = granted(&pool, 2, &read).await;
        let _waiting: Vec<_> = (0..8).map(|_| spawn(&pool, read.clone())).collect();
        settle().await;
        let start = Instant::now();
        let mut short = read.clone();
        short.deadline = start + Duration::from_millis(deadline_ms);
        let error = tokio::time::timeout(Duration::from_millis(1), pool.admit(&short)).await;
        let result = match error {
            Ok(Err(error)) => format!("refused {error}, retry after {} s", error.retry_after()),
            Ok(Ok(_)) => "granted".to_owned(),
            Err(_) => "waits".to_owned(),
        };
        writeln!(table, "deadline in {deadline_ms:>4} ms: {result}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn load_reports_and_a_new_owner_only_reduce_the_free_slots() {
    let cases = [
        ("none", false, None),
        ("new owner", true, None),
        ("new owner, report of idle", true, Some((0, false))),
        ("new owner, former one runs 4", true, Some((4, false))),
        ("report of 4 foreign", false, Some((4, false))),
        ("report far over the slots", false, Some((900, false))),
        ("leaving", false, Some((0, true))),
    ];
    let mut table = String::new();
    for (name, takes_over, report) in cases {
        let pool = pool_of(1, 6);
        warm_up(&pool).await;
        sleep(Duration::from_secs(5)).await;
        pool.apply_report(&"t-00".into(), LoadReport::default());
        pool.apply_report(&"t-00".into(), LoadReport::default());
        advance(Duration::from_millis(10)).await;
        if takes_over {
            pool.take_over();
        }
        if let Some((busy, leaving)) = report {
            pool.apply_report(&"t-00".into(), LoadReport { busy, leaving, queued: 0 });
        }
        let now = pool.room().free;
        sleep(TargetPool::GRACE_PERIOD + Duration::from_secs(1)).await;
        writeln!(table, "{name:<29} {now} of 6 free, {} after 3 s", pool.room().free).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Runs requests that arrive, wait, are cancelled, answered or dropped, and fail, in random order.
async fn run_case(seed: u64) {
    let mut g = Gen::from_size_and_seed(20, seed);
    let (targets, slots) = (1 + usize::arbitrary(&mut g) % 4, 1 + u32::arbitrary(&mut g) % 4);
    let pool = pool_of(targets, slots);
    let mut waiting: Vec<JoinHandle<Option<Permit>>> = Vec::new();
    let mut held: Vec<Permit> = Vec::new();
    for _ in 0..STEPS {
        match u8::arbitrary(&mut g) % 8 {
            0..=2 => {
                let urgency =
                    *g.choose(&[Urgency::Interactive, Urgency::Bulk, Urgency::Deferrable]).unwrap();
                let class = *g.choose(&["x", "y"]).unwrap();
                let mut request = slot_request(&format!("{class}{urgency:?}"), urgency, 0.7)
                    .bodyless(bool::arbitrary(&mut g))
                    .repeat(RepeatRule::Idempotent);
                request.member = (*g.choose(&["a", "b", "c"]).unwrap()).into();
                waiting.push(spawn(&pool, request));
            }
            3 if !waiting.is_empty() => {
                let index = usize::arbitrary(&mut g) % waiting.len();
                waiting.swap_remove(index).abort();
            }
            4..=5 if !held.is_empty() => {
                let index = usize::arbitrary(&mut g) % held.len();
                let mut permit = held.swap_remove(index);
                match u8::arbitrary(&mut g) % 8 {
                    0 => permit.record_unreachable(),
                    1 => permit.record_shed(None),
                    2 => {}
                    _ => permit.record_response(),
                }
            }
            6 => {
                let name = TargetName::from(format!("t-{:02}", usize::arbitrary(&mut g) % targets));
                let busy = u32::arbitrary(&mut g) % 8;
                let leaving = u8::arbitrary(&mut g).is_multiple_of(8);
                pool.apply_report(&name, LoadReport { busy, leaving, queued: 0 });
            }
            _ => advance(Duration::from_millis(u64::arbitrary(&mut g) % 300)).await,
        }
        settle().await;
        let (done, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(JoinHandle::is_finished);
        waiting = rest;
        for task in done {
            held.extend(task.await.ok().flatten());
        }
        for index in 0..targets {
            let name = TargetName::from(format!("t-{index:02}"));
            let busy = held.iter().filter(|permit| *permit.target() == name).count();
            assert!(busy <= slots as usize, "seed {seed}: {busy} permits for {slots} slots");
        }
    }
    waiting.iter().for_each(JoinHandle::abort);
    drop((waiting, held));
    for index in 0..targets {
        pool.apply_report(&format!("t-{index:02}").as_str().into(), LoadReport::default());
    }
    sleep(Duration::from_secs(120)).await;
    assert_eq!(pool.room().queued, 0, "seed {seed}: a cancelled request still waits");
    warm_up(&pool).await;
    sleep(Duration::from_secs(10)).await;
    let read = slot_request("read", Urgency::Interactive, 1.0);
    let all = granted(&pool, 40, &read).await.len();
    assert_eq!(all, targets * slots as usize, "seed {seed}: slots were lost");
}

#[tokio::test(start_paused = true)]
async fn never_grants_more_permits_than_slots_and_loses_no_slot() {
    for seed in 0..CASES {
        run_case(seed).await;
    }
}
