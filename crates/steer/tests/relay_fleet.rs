//! Tests when a change in the store is known by each VM of a large fleet, while the store discards its
//! history and VMs are cut off.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod relay_world;
mod routers;

use relay_world::{
    CONFIGURATION, KindRegistry, Peers, Recorder, StoreLink, StoreState, TARGETS, World,
};
use routers::{EmptyTargets, router_of, vm};
use slog::{Discard, Logger, o};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{
    ChangeLimits, ObjectCache, RelayRole, RelayTiming, RelayedSource, Router, StoreGate,
    StoreRecoveries, VmRecord, VmState, follow_registry, poll_upstreams, send_hellos,
};
use tokio::{
    runtime::Builder,
    sync::watch,
    task::JoinSet,
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
/// Time between two changes of targets.
const CHANGE_PERIOD: Duration = Duration::from_millis(250);
/// When the history is discarded, and how long before that the watches hear nothing.
const COMPACTION: Duration = Duration::from_secs(12);
const DEAF_TIME: Duration = Duration::from_secs(1);
/// When some VMs are cut off.
const CUT: Duration = Duration::from_millis(10_500);
/// Time for which the store turns VMs away.
const REFUSAL: Duration = Duration::from_secs(9);
const LENGTH: Duration = Duration::from_secs(22);

/// Returns the limits of a deployment whose changes must take effect in some seconds.
const fn limits(apply: u64) -> ChangeLimits {
    let limit = Duration::from_secs(apply);
    let evacuate = Duration::from_secs(5);
    ChangeLimits { apply: limit, drain: limit, evacuate, stable: Duration::from_secs(apply + 1) }
}

struct Fleet {
    recorders: BTreeMap<SocketAddr, Arc<Recorder>>,
    _tasks: JoinSet<()>,
    world: Arc<World>,
}

fn vm_record(number: u8) -> VmRecord {
    let (zone, region) = ZONES[usize::from(number) % ZONES.len()];
    VmRecord {
        capacity: if number < 12 { 500 } else { 100 },
        ..vm(&format!("entry-{number}"), number, zone, region)
    }
}

impl Fleet {
    fn start(limits: ChangeLimits) -> Self {
        let store = StoreState { configuration: 1, targets: 2, oldest: 0, deaf: false };
        let world = Arc::new(World {
            caches: Mutex::default(),
            calls: AtomicUsize::new(0),
            cut: watch::Sender::new(BTreeSet::new()),
            refused: watch::Sender::new(BTreeSet::new()),
            store: watch::Sender::new(store),
        });
        let records: Vec<VmRecord> = (0..VMS).map(vm_record).collect();
        let (mut recorders, mut tasks) = (BTreeMap::new(), JoinSet::new());
        for record in &records {
            let router = Arc::new(router_of(record.clone(), Arc::new(EmptyTargets)));
            records.iter().for_each(|vm| router.fleet().add_registered(vm.clone()));
            let names = records.iter().map(|vm| vm.name.clone()).collect();
            router.fleet().set_registry_read(&names);
            let cache = ObjectCache::new();
            let known = (Arc::clone(&cache), Arc::clone(&router));
            world.caches.lock().unwrap().insert(record.peers, known);
            let recorder = Self::start_vm(&mut tasks, &world, limits, (record, &router, &cache));
            recorders.insert(record.peers, recorder);
        }
        Self { recorders, _tasks: tasks, world }
    }

    /// Starts the flows of a VM as its process does, and returns what it knows of the configuration.
    fn start_vm(
        tasks: &mut JoinSet<()>,
        world: &Arc<World>,
        limits: ChangeLimits,
        (record, router, cache): (&VmRecord, &Arc<Router>, &Arc<ObjectCache>),
    ) -> Arc<Recorder> {
        let peers = Arc::new(Peers { vm: record.peers, world: Arc::clone(world) });
        let timing = RelayTiming::within(limits.shortest());
        let wait = timing.wait + Duration::from_millis(300);
        tasks.spawn(poll_upstreams(
            Arc::clone(router),
            Arc::clone(cache),
            Arc::clone(&peers) as _,
            wait,
        ));
        let (_, state) = watch::channel(VmState::Serving);
        tasks.spawn(send_hellos(Arc::clone(router), peers, state));
        let (gate, recoveries) = (Arc::new(StoreGate::new(&record.name)), StoreRecoveries::new());
        let recorders = [CONFIGURATION, TARGETS].map(|kind| {
            let link = Arc::new(StoreLink { vm: record.peers, world: Arc::clone(world) });
            let source = RelayedSource::new(Arc::clone(router), Arc::clone(cache), timing, link);
            let source =
                source.with_gate(Arc::clone(&gate)).with_start_wait(RelayedSource::START_WAIT);
            let registry = Arc::new(KindRegistry { kind, source });
            let recorder = Arc::new(Recorder::new(kind, Arc::clone(router)));
            let timing = if kind == TARGETS { limits.targets() } else { limits.configuration() };
            let (follower, log) = (Arc::clone(&recorder), Logger::root(Discard, o!()));
            tasks.spawn(follow_registry(registry, follower, timing, recoveries.clone(), log));
            recorder
        });
        Arc::clone(&recorders[0])
    }

    /// Changes the targets all the time.
    async fn change_targets(&self) {
        loop {
            sleep(CHANGE_PERIOD).await;
            self.world.store.send_modify(|state| state.targets = state.revision() + 1);
        }
    }

    async fn compact(&self, start: Instant) {
        sleep_until(start + COMPACTION - DEAF_TIME).await;
        self.world.store.send_modify(|state| state.deaf = true);
        sleep_until(start + COMPACTION).await;
        self.world.store.send_modify(|state| {
            (state.deaf, state.oldest) = (false, state.revision());
        });
        pending::<()>().await;
    }

    /// Returns a third of the VMs, if `third`, and those that read the store.
    fn choose(&self, third: bool) -> BTreeSet<SocketAddr> {
        let vms = self.world.caches.lock().unwrap();
        let is_reader = |router: &Router| router.fleet().role() == RelayRole::Reader;
        let chosen = vms
            .iter()
            .enumerate()
            .filter(|(number, (_, (_, router)))| third && number % 3 == 0 || is_reader(router));
        chosen.map(|(_, (vm, _))| *vm).collect()
    }

    async fn cut(&self, start: Instant) {
        sleep_until(start + CUT).await;
        self.world.cut.send_replace(self.choose(true));
        pending::<()>().await;
    }

    async fn refuse(&self, start: Instant, third: bool) {
        sleep_until(start + CUT).await;
        self.world.refused.send_replace(self.choose(third));
        sleep(REFUSAL).await;
        self.world.refused.send_replace(BTreeSet::new());
        pending::<()>().await;
    }
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
    let (fleet, start) = (Fleet::start(trouble.limits), Instant::now());
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
        () = fleet.change_targets() => {}
        () = fleet.compact(start), if trouble.compacts => {}
        () = fleet.cut(start), if trouble.cut => {}
        () = fleet.refuse(start, trouble.refused == Some(true)), if trouble.refused.is_some() => {}
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
