//! Tests when a change in the store is known by each VM of a large fleet, while the store discards its
//! history and VMs are cut off.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod relay_world;
mod routers;

use relay_world::{Fleet, Refusal, change_targets, limits};
use routers::vm;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    future::pending,
    net::SocketAddr,
    sync::atomic::Ordering,
    time::Duration,
};
use steer::{ChangeLimits, RelayRole, Router, VmRecord};
use tokio::{
    runtime::Builder,
    time::{Instant, sleep, sleep_until},
};

const ZONES: [(&str, &str); 6] = [
    ("lis-a", "lisboa"),
    ("opo-a", "porto"),
    ("fao-a", "faro"),
    ("lis-b", "lisboa"),
    ("opo-b", "porto"),
    ("fao-b", "faro"),
];
const VMS: u8 = 24;
/// Times at which the configuration changes, and the time between them.
const STEPS: u32 = 5;
const STEP: Duration = Duration::from_millis(500);
/// When the history is discarded, and how long before that the watches hear nothing.
const COMPACTION: Duration = Duration::from_secs(12);
const DEAF_TIME: Duration = Duration::from_secs(1);
/// When some VMs are cut off.
const CUT: Duration = Duration::from_millis(10_500);
/// Time for which the store turns VMs away.
const REFUSAL: Duration = Duration::from_secs(9);
const LENGTH: Duration = Duration::from_secs(22);

fn vm_record(number: u8) -> VmRecord {
    let (zone, region) = ZONES[usize::from(number) % ZONES.len()];
    VmRecord {
        capacity: if number < 12 { 500 } else { 100 },
        ..vm(&format!("entry-{number}"), number, zone, region)
    }
}

async fn compact(fleet: &Fleet, start: Instant) {
    sleep_until(start + COMPACTION - DEAF_TIME).await;
    fleet.world.store.send_modify(|state| state.deaf = true);
    sleep_until(start + COMPACTION).await;
    fleet.world.store.send_modify(|state| {
        (state.deaf, state.oldest) = (false, state.revision());
    });
    pending::<()>().await;
}

/// Returns a third of the VMs, if `third`, and those that read the store.
fn choose(fleet: &Fleet, third: bool) -> BTreeSet<SocketAddr> {
    let vms = fleet.world.caches.lock().unwrap();
    let is_reader = |router: &Router| router.fleet().role() == RelayRole::Reader;
    let chosen = vms
        .iter()
        .enumerate()
        .filter(|(number, (_, (_, router)))| third && number % 3 == 0 || is_reader(router));
    chosen.map(|(_, (vm, _))| *vm).collect()
}

async fn cut(fleet: &Fleet, start: Instant) {
    sleep_until(start + CUT).await;
    fleet.world.cut.send_replace(choose(fleet, true));
    pending::<()>().await;
}

async fn refuse(fleet: &Fleet, start: Instant, third: bool) {
    sleep_until(start + CUT).await;
    let refused = choose(fleet, third).into_iter().map(|vm| (vm, Refusal::Busy));
    fleet.world.refused.send_replace(refused.collect());
    sleep(REFUSAL).await;
    fleet.world.refused.send_replace(BTreeMap::new());
    pending::<()>().await;
}

/// What happens to the store and the VMs.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Whether the history is discarded.
    compacts: bool,
    /// Whether readers and a third of the VMs are cut off.
    cut: bool,
    /// Whether the store turns readers away, and a third of the VMs too if `Some(true)`.
    refused: Option<bool>,
    limits: ChangeLimits,
}

const QUIET: Trouble = Trouble { compacts: false, cut: false, refused: None, limits: limits(3) };

/// Changes the configuration at a time, and returns the delays with which the VMs that aren't cut off
/// know of it, longest first, and the number of calls to the store.
async fn delays(changed: Duration, trouble: Trouble) -> (Vec<Duration>, usize) {
    let (fleet, start) = (Fleet::start(trouble.limits, (0..VMS).map(vm_record)), Instant::now());
    let mut revision = 0;
    let change = async {
        sleep_until(start + changed).await;
        fleet.world.store.send_modify(|state| state.configuration = state.revision() + 1);
        revision = fleet.world.store.borrow().configuration;
        sleep_until(start + LENGTH).await;
    };
    tokio::select! {
        biased;
        () = change => {}
        () = change_targets(&fleet.world) => {}
        () = compact(&fleet, start), if trouble.compacts => {}
        () = cut(&fleet, start), if trouble.cut => {}
        () = refuse(&fleet, start, trouble.refused == Some(true)), if trouble.refused.is_some() => {}
    }
    let is_cut = |vm: &SocketAddr| fleet.world.is_cut(*vm);
    let uncut = fleet.recorders.iter().filter(|(vm, _)| !is_cut(vm));
    let known = uncut.map(|(_, recorder)| {
        let first = recorder.known_since(revision);
        first.unwrap_or(start + LENGTH).duration_since(start + changed)
    });
    let mut delays: Vec<Duration> = known.collect();
    delays.sort();
    delays.reverse();
    (delays, fleet.world.calls.load(Ordering::Relaxed))
}

/// Runs a simulation in a runtime of its own, which ends all its tasks.
fn run<T>(simulation: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(simulation)
}

/// Runs a trouble with changes at several times, and returns the longest delays in a table.
fn describe(rows: &[(&str, Trouble)], first: Duration) -> String {
    let (mut table, mut late) = (String::new(), 0);
    for (name, trouble) in rows {
        let (mut longest, mut most_calls) = (Vec::new(), 0);
        for step in 0..STEPS {
            let (delays, calls) = run(delays(first + STEP * step, *trouble));
            most_calls = most_calls.max(calls);
            late += delays.iter().filter(|delay| **delay > trouble.limits.apply).count();
            longest.push(delays[0].as_millis());
        }
        writeln!(table, "{name}: {longest:?} ms, {most_calls} calls").unwrap();
    }
    assert_eq!(late, 0, "{table}");
    table
}

// Guards against stale configurations: VMs of a large fleet kept an old configuration for seconds
// after the store had discarded its history.
#[test]
fn a_configuration_is_known_in_time_while_the_history_is_discarded() {
    let compacts = Trouble { compacts: true, ..QUIET };
    let rows = [
        ("undisturbed", QUIET),
        ("readers and a third cut off", Trouble { cut: true, ..QUIET }),
        ("history discarded", compacts),
        ("history discarded, readers and a third cut off", Trouble { cut: true, ..compacts }),
    ];
    insta::assert_snapshot!(describe(&rows, COMPACTION - DEAF_TIME));
}

// Guards against stale configurations: a VM that the store turned away took what others relayed for
// the store's own answer, became a reader again and again, and learned of no configuration.
#[test]
fn a_configuration_is_known_in_time_while_the_store_turns_vms_away() {
    let refused = |third| Trouble { refused: Some(third), ..QUIET };
    let rows = [
        ("readers turned away", refused(false)),
        ("readers and a third turned away", refused(true)),
        ("history discarded, readers turned away", Trouble { compacts: true, ..refused(false) }),
        ("as the first, in 2 s", Trouble { limits: limits(2), ..refused(false) }),
        ("as the second, in 2 s", Trouble { limits: limits(2), ..refused(true) }),
    ];
    insta::assert_snapshot!(describe(&rows, CUT + limits(3).stable));
}
