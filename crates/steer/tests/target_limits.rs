//! Tests that the VMs together keep the limits that targets ask for, and use them.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::{Arbitrary, Gen};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    sync::Arc,
    time::Duration,
};
use steer::{
    LimitNews, LimitNotice, PlacementError, PlacementGuard, PlacementLimits, PlacementQuery,
    TargetOutcome, TargetRecord, TargetTable, VmName,
};
use tokio::time::{Instant, advance};

/// Time after the first notice of a limit from which the operators count requests.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Length of the window in which they count.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after its first notice from which the requests of a VM count.
const NOTICE_TIME: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(10);
const HELLO_PERIOD: Duration = Duration::from_millis(700);
const WORK: Duration = Duration::from_millis(300);

const RUNS: u64 = 40;

/// Returns how many requests a target may get in a window; the operators' bound.
fn bound(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// What a simulation does.
#[derive(Clone, Debug)]
struct Plan {
    /// Requests a second at each VM.
    demand: Vec<f64>,
    /// What the target says, from a time on.
    notices: Vec<(Duration, LimitNotice)>,
    /// VMs that are restarted, and when.
    restarts: Vec<(Duration, usize)>,
    time: Duration,
}

impl Plan {
    fn notice(&self, at: Duration) -> LimitNotice {
        self.notices.iter().rfind(|(from, _)| *from <= at).map_or(LimitNotice::Absent, |(_, n)| *n)
    }

    /// Returns the limit in force: a notice that can't be used leaves it as it was.
    fn limit(&self, at: Duration) -> Option<f64> {
        let said = self.notices.iter().rev().filter(|(from, _)| *from <= at);
        match said.map(|(_, notice)| *notice).find(|notice| *notice != LimitNotice::Unclear)? {
            LimitNotice::PerSecond(rate) => Some(rate),
            LimitNotice::Absent | LimitNotice::Unclear => None,
        }
    }
}

/// A simulated VM.
struct SimulatedVm {
    /// When its first response with a limit arrived.
    noticed: Option<Duration>,
    running: Vec<(Duration, PlacementGuard)>,
    table: Arc<TargetTable>,
}

fn vm_names(count: usize) -> BTreeSet<VmName> {
    (0..count).map(|vm| VmName::from(format!("entry-{vm}"))).collect()
}

impl SimulatedVm {
    fn start(number: usize, count: usize) -> Self {
        let here = ("lis-a".into(), "lisboa".into());
        let name = VmName::from(format!("entry-{number}"));
        let table = TargetTable::new(name, here, BTreeMap::new(), PlacementLimits::default());
        let target = TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap());
        table.apply(target.slots(1_000));
        table.set_vms(vm_names(count));
        Self { noticed: None, running: Vec::new(), table: Arc::new(table) }
    }

    fn finish_due(&mut self, at: Duration, notice: LimitNotice) {
        while let Some(i) = self.running.iter().position(|(end, _)| *end <= at) {
            let (_, guard) = self.running.remove(i);
            guard.record_limit(notice, TargetOutcome::Ran);
            match notice {
                LimitNotice::Absent => self.noticed = None,
                LimitNotice::PerSecond(_) => {
                    self.noticed.get_or_insert(at);
                }
                LimitNotice::Unclear => {}
            }
        }
    }
}

/// A request that arrived at the target, and whether it counts against the limit.
struct Arrival {
    at: Duration,
    counts: bool,
}

/// Runs a plan and returns the requests that arrived at the target.
async fn simulate(plan: &Plan, seed: u64) -> Vec<Arrival> {
    let (count, start) = (plan.demand.len(), Instant::now());
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut vms: Vec<_> = (0..count).map(|vm| SimulatedVm::start(vm, count)).collect();
    let mut arrivals = Vec::new();
    let query = PlacementQuery::new("briefs");
    while start.elapsed() < plan.time {
        let at = start.elapsed();
        for (_, vm) in plan.restarts.iter().filter(|(time, _)| *time <= at && at < *time + STEP) {
            vms[*vm] = SimulatedVm::start(*vm, count);
        }
        for (vm, demand) in vms.iter_mut().zip(&plan.demand) {
            vm.finish_due(at, plan.notice(at));
            if !rng.random_bool((demand * STEP.as_secs_f64()).min(1.0)) {
                continue;
            }
            if let Ok(guard) = vm.table.place_request(&query) {
                let counts = vm.noticed.is_some_and(|noticed| at >= noticed + NOTICE_TIME);
                arrivals.push(Arrival { at, counts });
                vm.running.push((at + WORK, guard));
            }
        }
        tell_news(&vms, at);
        advance(STEP).await;
    }
    arrivals
}

/// Lets the VMs of each of three regions tell each other their news, and now and then those of all.
fn tell_news(vms: &[SimulatedVm], at: Duration) {
    let is_due = |period: Duration| at.as_millis().is_multiple_of(period.as_millis());
    if !is_due(HELLO_PERIOD) {
        return;
    }
    let news: Vec<_> = vms.iter().map(|vm| vm.table.limit_news()).collect();
    for (from, news) in news.iter().enumerate() {
        for (to, vm) in vms.iter().enumerate() {
            if from % 3 == to % 3 || is_due(HELLO_PERIOD * 3) {
                vm.table.apply_limit_news(news);
            }
        }
    }
}

/// Returns the most requests that count in a window in which a limit holds, and that limit.
fn busiest(plan: &Plan, arrivals: &[Arrival]) -> Option<(usize, f64)> {
    let counted: Vec<Duration> = arrivals.iter().filter(|a| a.counts).map(|a| a.at).collect();
    let windows = counted.iter().filter_map(|from| {
        let span = [from.saturating_sub(STABLE_WINDOW), *from, *from + WINDOW];
        let limits = span.map(|at| plan.limit(at));
        let changes = plan.notices.iter().any(|(at, _)| span[0] < *at && *at < span[2]);
        let rate = limits[0].filter(|_| !changes)?;
        let count = counted.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
        Some((count, rate))
    });
    windows.max_by(|(a, x), (b, y)| (*a as f64 / bound(*x)).total_cmp(&(*b as f64 / bound(*y))))
}

#[tokio::test(start_paused = true)]
async fn a_target_gets_what_its_limit_allows_and_no_more() {
    let even = |count: usize, demand: f64| vec![demand / count as f64; count];
    let skewed = |count: usize, demand: f64| {
        let mut all = even(count - 1, 0.2 * demand);
        all.push(0.8 * demand);
        all
    };
    let cases = [
        ("one VM", even(1, 14.0), 8.8),
        ("8 VMs", even(8, 14.0), 8.8),
        ("8 VMs", even(8, 14.0), 4.1),
        ("8 VMs, low limit", even(8, 14.0), 0.7),
        ("8 VMs, wants none", even(8, 14.0), 0.0),
        ("8 VMs, most callers at one", skewed(8, 14.0), 4.1),
        ("68 VMs", even(68, 10.0), 4.1),
        ("84 VMs", even(84, 4.4), 2.2),
        ("84 VMs, little demand", even(84, 1.0), 2.2),
        ("84 VMs, much demand", even(84, 200.0), 2.2),
    ];
    let mut table = String::new();
    for (name, demand, rate) in cases {
        let notices = vec![(Duration::from_secs(6), LimitNotice::PerSecond(rate))];
        let time = Duration::from_secs(66);
        let plan = Plan { demand, notices, restarts: Vec::new(), time };
        let arrivals = simulate(&plan, 7).await;
        let (most, _) = busiest(&plan, &arrivals).unwrap_or((0, rate));
        let later = arrivals.iter().filter(|a| a.at >= Duration::from_secs(16)).count();
        let allowed = 50.0 * rate;
        let used = if allowed > 0.0 { 100.0 * later as f64 / allowed } else { 0.0 };
        assert!(most as f64 <= bound(rate), "{name}: {most}");
        writeln!(
            table,
            "{name}, limit {rate}: at most {most} of {:.0} in 4 s, {used:.0}% used",
            bound(rate)
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

fn arbitrary_notice(g: &mut Gen) -> LimitNotice {
    match u8::arbitrary(g) % 6 {
        0 => LimitNotice::Absent,
        1 => LimitNotice::Unclear,
        2 => LimitNotice::PerSecond(0.0),
        3 => LimitNotice::PerSecond(f64::from(u8::arbitrary(g))),
        _ => LimitNotice::PerSecond(f64::from(u8::arbitrary(g)) / 20.0),
    }
}

fn arbitrary_time(g: &mut Gen) -> Duration {
    Duration::from_millis(u64::from(u16::arbitrary(g)) % 40_000)
}

#[tokio::test(start_paused = true)]
async fn limits_hold_over_any_series_of_notices_restarts_and_callers() {
    for seed in 0..RUNS {
        let mut g = Gen::from_size_and_seed(30, seed);
        let count = 1 + usize::from(u8::arbitrary(&mut g) % 40);
        let busy = u8::arbitrary(&mut g);
        let weights: Vec<u8> = (0..count).map(|_| u8::arbitrary(&mut g)).collect();
        let scale = f64::from(busy) / 255.0 / count as f64;
        let mut notices: Vec<_> = (0..u8::arbitrary(&mut g) % 5)
            .map(|_| (arbitrary_time(&mut g), arbitrary_notice(&mut g)))
            .collect();
        notices.sort_by_key(|(at, _)| *at);
        let plan = Plan {
            demand: weights.into_iter().map(|weight| f64::from(weight) * scale).collect(),
            notices,
            restarts: (0..u8::arbitrary(&mut g) % 4)
                .map(|_| (arbitrary_time(&mut g), usize::arbitrary(&mut g) % count))
                .collect(),
            time: Duration::from_secs(45),
        };
        let arrivals = simulate(&plan, seed).await;
        if let Some((most, rate)) = busiest(&plan, &arrivals) {
            assert!(most as f64 <= bound(rate), "seed {seed}: {most} at {rate}, {plan:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_limited_target_tells_when_it_takes_the_next_request() {
    let vm = SimulatedVm::start(0, 2);
    let query = PlacementQuery::new("briefs");
    let place = || vm.table.place_request(&query);
    let mut table = String::new();
    let mut describe = |text: &str, result: Result<PlacementGuard, PlacementError>| {
        let result = result.map(|_| "placed").map_err(|e| e.to_string());
        writeln!(table, "{text}: {result:?}").unwrap();
    };
    let guard = place().unwrap();
    describe("unlimited", place());
    assert!(guard.record_limit(LimitNotice::PerSecond(2.0), TargetOutcome::Ran));
    describe("limited to 2 a second, half of it for this VM", place());
    advance(vm.table.first_return(&query).unwrap()).await;
    describe("after that time", place());
    describe("at once", place());
    assert!(!guard.record_limit(LimitNotice::Unclear, TargetOutcome::Ran));
    describe("after a notice that can't be used", place());
    assert!(!guard.record_limit(LimitNotice::Absent, TargetOutcome::NotRun));
    describe("after a refusal without a limit", place());
    assert!(!guard.record_limit(LimitNotice::Absent, TargetOutcome::Misdirected));
    describe("after a response of another target", place());
    vm.table.set_vms(vm_names(20));
    describe("with 20 VMs", place());
    vm.table.remove(&"t-1".into());
    vm.table.apply(TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap()));
    describe("registered again", place());
    assert!(guard.record_limit(LimitNotice::Absent, TargetOutcome::Ran));
    describe("after a response without a limit", place());
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_while_a_limit_begins_is_withheld() {
    let vm = SimulatedVm::start(0, 1);
    let query = PlacementQuery::new("briefs");
    let place = || vm.table.place_request(&query);
    let (first, waiting) = (place().unwrap(), place().unwrap());
    advance(STEP).await;
    first.record_limit(LimitNotice::PerSecond(10.0), TargetOutcome::Ran);
    assert_eq!(waiting.send_check().confirm().unwrap_err().to_string(), "limited");
    assert!(!waiting.record_unsent());
    advance(Duration::from_millis(100)).await;
    let unsent = place().unwrap();
    assert!(unsent.send_check().confirm().is_ok());
    assert!(place().is_err());
    unsent.record_unsent();
    advance(Duration::from_secs(4)).await;
    assert!(place().is_ok());
}

#[tokio::test(start_paused = true)]
async fn news_that_arrives_late_does_not_hide_later_news() {
    let vm = SimulatedVm::start(0, 1);
    let query = PlacementQuery::new("briefs");
    let news = |ms: u64, rate: Option<f64>| LimitNews {
        age: Duration::from_millis(ms),
        born: 0,
        rate,
        target: "t-1".into(),
    };
    advance(Duration::from_secs(10)).await;
    let mut table = String::new();
    let mut describe = |text: &str| {
        let limited = vm.table.place_request(&query).is_err();
        writeln!(table, "{text}: {}", if limited { "limited" } else { "unlimited" }).unwrap();
    };
    vm.table.apply_limit_news(&[news(3_000, Some(0.5))]);
    describe("a limit began 3 s ago");
    vm.table.apply_limit_news(&[news(1_000, None)]);
    describe("it ended 1 s ago");
    vm.table.apply_limit_news(&[news(2_000, Some(0.5))]);
    describe("a change of 2 s ago");
    vm.table.apply_limit_news(&[news(500, Some(0.5))]);
    describe("it began again 0.5 s ago");
    vm.table.apply_limit_news(&[news(100, None)]);
    describe("it ended 0.1 s ago");
    insta::assert_snapshot!(table);
}
