//! Tests decisions between zones on plain data: zone order, weighted split, slot leases, the ramp
//! of a traffic shift, and the rate limiter in comparison with a token bucket.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::Gen;
use rand::{SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration};
use steer::{
    GrantedSlots, LeaseGrantor, LeaseHolder, PoolKey, PoolRoom, RegionSplit, ShiftObservations,
    ShiftRamp, ShiftSettings, TargetName, TargetPool, TargetSettings, WindowLimiter, ZoneView,
    plan_zones,
};
use tokio::time::Instant;

const SERVICE_TIME: Duration = Duration::from_millis(50);

fn view(zone: &str, delay_ms: u64, [free, queued, slots]: [u32; 3], preferred: bool) -> ZoneView {
    ZoneView {
        delay: Duration::from_millis(delay_ms),
        room: Some(PoolRoom { free, queued, slots }),
        preferred,
        zone: zone.into(),
    }
}

#[test]
fn prefers_its_own_zone_until_the_queueing_delay_exceeds_the_network_delay() {
    let full = [0, 0, 10];
    let near = || view("lis-b", 5, [4, 0, 10], false);
    let far = || view("por-a", 35, [8, 0, 10], false);
    let cases = [
        ("free slot in its own zone", view("lis-a", 0, [1, 0, 10], true), vec![near(), far()]),
        ("full, short queue", view("lis-a", 0, full, true), vec![near(), far()]),
        ("near zone beats the queue", view("lis-a", 0, [0, 5, 10], true), vec![near(), far()]),
        ("both zones beat the queue", view("lis-a", 0, [0, 30, 10], true), vec![near(), far()]),
        (
            "near is full",
            view("lis-a", 0, [0, 30, 10], true),
            vec![view("lis-b", 5, full, false), far()],
        ),
        (
            "shifted",
            view("lis-a", 0, [5, 0, 10], false),
            vec![near(), view("por-a", 35, [8, 0, 10], true)],
        ),
        (
            "shifted to a full zone",
            view("lis-a", 0, [5, 0, 10], false),
            vec![near(), view("por-a", 35, full, true)],
        ),
        ("own pool without slots", view("lis-a", 0, [0, 0, 0], true), vec![near(), far()]),
    ];
    let mut rng = StdRng::seed_from_u64(1);
    let mut table = String::new();
    for (title, own, others) in cases {
        let plan = plan_zones(Some(&own), others, SERVICE_TIME, &mut rng);
        let plan: Vec<_> = plan.iter().map(ToString::to_string).collect();
        writeln!(table, "{title:<26} {}", plan.join(" > ")).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn vms_with_the_same_view_spread_requests_by_free_slots() {
    let own = view("lis-a", 0, [0, 90, 10], true);
    let others =
        || vec![view("far-a", 35, [6, 0, 10], false), view("por-a", 35, [2, 0, 10], false)];
    let mut first: BTreeMap<String, u32> = BTreeMap::new();
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..4_000 {
        let plan = plan_zones(Some(&own), others(), SERVICE_TIME, &mut rng);
        *first.entry(plan[0].to_string()).or_default() += 1;
    }
    // far-a has three quarters of the free slots; always picking the largest pool would send it
    // every request.
    assert!((2_800..3_200).contains(&first["far-a"]), "{first:?}");
}

#[test]
fn split_keeps_each_share_over_every_prefix() {
    for seed in 0..2_000 {
        let mut g = Gen::from_size_and_seed(10, seed);
        let mut draw = || f64::from(*g.choose(&[0_u8, 1, 2, 3, 5, 8]).unwrap());
        let shares: BTreeMap<_, _> =
            ["a", "b", "c"].into_iter().map(|region| (region.into(), draw())).collect();
        let total: f64 = shares.values().sum();
        let mut split = RegionSplit::new();
        let mut counts: BTreeMap<_, f64> = BTreeMap::new();
        for n in 1..=100 {
            let Some(region) = split.choose(&"briefs".into(), &shares) else {
                assert!(total == 0.0, "seed {seed}");
                break;
            };
            *counts.entry(region).or_default() += 1.0;
            for (region, share) in &shares {
                let due = f64::from(n) * share / total;
                let got = counts.get(region).copied().unwrap_or_default();
                assert!((got - due).abs() < 2.0, "seed {seed}, {region}: {got} of {due}");
                assert!(*share > 0.0 || got == 0.0, "seed {seed}: {region} has no share");
            }
        }
    }
}

/// Admits a burst of the whole limit on top of the steady rate.
struct TokenBucket {
    filled: Instant,
    tokens: f64,
}

#[test]
fn limiter_never_exceeds_its_limit_unlike_a_token_bucket() {
    const LIMIT: u64 = 10;
    let mut bucket_violations = 0;
    for seed in 0..3_000 {
        let mut g = Gen::from_size_and_seed(10, seed);
        let start = Instant::now();
        let mut now = start;
        let mut limiter = WindowLimiter::new();
        let mut bucket = TokenBucket { filled: start, tokens: LIMIT as f64 };
        let (mut exact, mut burst) = (Vec::new(), Vec::new());
        for _ in 0..200 {
            now +=
                Duration::from_micros(*g.choose(&[0, 300, 1_000, 7_000, 90_000, 400_000]).unwrap());
            let amount = *g.choose(&[1, 1, 1, 4]).unwrap();
            if limiter.try_acquire(amount, LIMIT, now).is_ok() {
                exact.push((now, amount));
            }
            let filled = now.duration_since(bucket.filled).as_secs_f64() * LIMIT as f64;
            bucket.tokens = (bucket.tokens + filled).min(LIMIT as f64);
            bucket.filled = now;
            if bucket.tokens >= amount as f64 {
                bucket.tokens -= amount as f64;
                burst.push((now, amount));
            }
        }
        assert!(most_in_window(&exact) <= LIMIT, "seed {seed}: {}", most_in_window(&exact));
        bucket_violations += u32::from(most_in_window(&burst) > LIMIT);
    }
    assert!(
        bucket_violations > 1_000,
        "the token bucket exceeded the limit only {bucket_violations} times"
    );
}

/// Returns the maximum usage in any window of one second, including both ends.
fn most_in_window(uses: &[(Instant, u64)]) -> u64 {
    let inside = |from: Instant, at: Instant| {
        at >= from && at.duration_since(from) <= Duration::from_secs(1)
    };
    let sum = |from: Instant| uses.iter().filter(|(at, _)| inside(from, *at)).map(|(_, n)| n).sum();
    uses.iter().map(|(from, _)| sum(*from)).max().unwrap_or_default()
}

/// Creates a pool of four targets; a cold target offers only part of its slots.
fn pool_of(slots: u32) -> Arc<TargetPool> {
    let pool = Arc::new(TargetPool::new(1));
    let address = "127.0.0.1:9".parse().unwrap();
    let target = TargetSettings { address, connections: 9, slots, zone: "por-a".into() };
    let names = ["briefs-1", "briefs-2", "briefs-3", "briefs-4"].map(TargetName::from);
    pool.set_targets(names.iter().map(|name| (name, &target, false)));
    pool
}

#[test]
fn leased_slots_expire_and_belong_to_one_holder() {
    let key = PoolKey::new("briefs", "por-a");
    let holder = |vm: &str| LeaseHolder { incarnation: 1, vm: vm.into() };
    let pool = pool_of(10);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut granted_slots = GrantedSlots::new(7);
    let mut table = String::new();
    let mut row = |what: &str, found: String| writeln!(table, "{what:<44} {found}").unwrap();

    row(
        "new owner may lend at once",
        granted_slots.update_ownership(&key, true, at(0)).to_string(),
    );
    row(
        "new owner may lend after a term",
        granted_slots.update_ownership(&key, true, at(2_001)).to_string(),
    );
    let permits = (0..4).map_while(|_| pool.try_admit_remote()).collect();
    let grant = granted_slots.grant(&key, holder("lis-1"), permits, at(2_100));
    row("free while four are lent", pool.room().free.to_string());
    let mut use_slot =
        |vm: &str, id: u64, ms: u64| granted_slots.use_slot(&key, id, &vm.into(), at(ms));
    row("another VM redeems", use_slot("lis-2", grant.id, 2_200).is_some().to_string());
    row(
        "an unknown lease is redeemed",
        use_slot("lis-1", grant.id + 1, 2_200).is_some().to_string(),
    );
    let used = use_slot("lis-1", grant.id, 2_300);
    row("its holder redeems", used.is_some().to_string());
    row(
        "its holder redeems after expiry",
        use_slot("lis-1", grant.id, 4_100).is_some().to_string(),
    );
    row("lent after one was redeemed", granted_slots.granted(&key).to_string());
    drop(granted_slots.reclaim_expired(at(4_100)));
    row("free after expiry, with one request running", pool.room().free.to_string());
    drop(used);
    row("free after that request ended", pool.room().free.to_string());
    let permits = (0..2).map_while(|_| pool.try_admit_remote()).collect();
    let grant = granted_slots.grant(&key, holder("lis-1"), permits, at(5_000));
    row(
        "former owner may lend",
        granted_slots.update_ownership(&key, false, at(5_100)).to_string(),
    );
    let late = granted_slots.use_slot(&key, grant.id, &"lis-1".into(), at(5_200));
    row("a lease of the former owner is redeemed", late.is_some().to_string());
    row("free at the end", pool.room().free.to_string());
    insta::assert_snapshot!(table);
}

#[test]
fn granted_and_used_slots_never_exceed_the_total() {
    const SLOTS: u32 = 8;
    let key = PoolKey::new("briefs", "por-a");
    for seed in 0..2_000 {
        let mut g = Gen::from_size_and_seed(10, seed);
        let mut draw = |n: u32| *g.choose(&(0..n).collect::<Vec<_>>()).unwrap();
        let pool = pool_of(SLOTS);
        let mut now = Instant::now();
        let mut granted_slots = GrantedSlots::new(1);
        granted_slots.update_ownership(&key, true, now);
        let (mut running, mut ids) = (Vec::new(), Vec::new());
        for _ in 0..200 {
            now += Duration::from_millis(u64::from(draw(300)));
            let holder = LeaseHolder { incarnation: 1, vm: "lis-1".into() };
            match draw(6) {
                0 => running.extend(pool.try_admit_remote()),
                1 => {
                    let grantable = GrantedSlots::grantable(pool.room());
                    let permits = (0..grantable).map_while(|_| pool.try_admit_remote()).collect();
                    ids.push(granted_slots.grant(&key, holder, permits, now).id);
                }
                2 if !ids.is_empty() => {
                    let id = ids[draw(ids.len() as u32) as usize];
                    running.extend(granted_slots.use_slot(&key, id, &holder.vm, now));
                }
                3 => drop(granted_slots.reclaim(&key, &holder)),
                4 if !running.is_empty() => {
                    running.swap_remove(draw(running.len() as u32) as usize);
                }
                _ => drop(granted_slots.reclaim_expired(now)),
            }
            let held = running.len() + granted_slots.granted(&key);
            let free = pool.room().free as usize;
            let slots = pool.room().slots;
            assert!(slots <= 4 * SLOTS, "seed {seed}");
            assert_eq!(held + free, slots as usize, "seed {seed}");
        }
    }
    assert_eq!(LeaseGrantor::LEASE_DURATION, Duration::from_secs(2));
}

#[test]
fn shift_ramps_pauses_and_turns_back() {
    let settings = ShiftSettings {
        cap: 20,
        from: "porto".into(),
        ramp_s: 10,
        service: "briefs".into(),
        share: 0.5,
        start: "2026-01-01T00:00:00Z".parse().unwrap(),
        to: "faro".into(),
    };
    let good = ShiftObservations { completed: 50, warm: 1.0, ..ShiftObservations::default() };
    let ms = |n| Some(Duration::from_millis(n));
    let legs = [
        ("before the start", 2, false, good),
        ("ramp", 4, true, good),
        ("targets warm up", 2, true, ShiftObservations { warm: 0.5, ..good }),
        ("ramp", 2, true, good),
        ("slots refused", 2, true, ShiftObservations { denied: 0.8, ..good }),
        (
            "few failures, few requests",
            1,
            true,
            ShiftObservations { failed: 0.9, completed: 5, ..good },
        ),
        ("failures", 1, true, ShiftObservations { failed: 0.2, ..good }),
        ("no more failures", 4, true, good),
        ("no failures for long", 3, true, good),
        ("slow", 1, true, ShiftObservations { home_time: ms(50), shifted_time: ms(120), ..good }),
        (
            "not slow",
            6,
            true,
            ShiftObservations { home_time: ms(50), shifted_time: ms(90), ..good },
        ),
        ("to the end", 12, true, good),
    ];
    let mut now = Instant::now();
    let mut ramp = ShiftRamp::new(now);
    let mut table = String::new();
    for (title, seconds, started, observations) in legs {
        for _ in 0..seconds * 4 {
            now += Duration::from_millis(250);
            let before = ramp.moving();
            ramp.step(&settings, started, &observations, now);
            // 250 ms of a 10 s ramp to a share of 0.5.
            assert!(ramp.moving() - before <= 0.0125 + 1e-9, "{title}");
        }
        writeln!(table, "{title:<28} {:.3}  {}", ramp.moving(), ramp.phase()).unwrap();
    }
    now += Duration::from_secs(3_600);
    let before = ramp.moving();
    ramp.step(&settings, true, &good, now);
    writeln!(table, "{:<28} {:.3}", "after an hour without steps", ramp.moving() - before).unwrap();
    insta::assert_snapshot!(table);
}
