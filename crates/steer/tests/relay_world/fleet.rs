//! A simulated fleet, whose VMs run the flows of a process.

use super::{CONFIGURATION, KindRegistry, Peers, Recorder, StoreLink, StoreState, TARGETS, World};
use crate::routers::{EmptyTargets, router_of};
use slog::{Discard, Logger, o};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use steer::{
    ChangeLimits, ObjectCache, RelayTiming, RelayedSource, Router, StoreGate, StoreRecoveries,
    VmRecord, VmState, follow_registry, poll_upstreams, send_hellos,
};
use tokio::{sync::watch, task::JoinSet, time::sleep};

/// Time between two changes of targets.
const CHANGE_PERIOD: Duration = Duration::from_millis(250);

/// Returns the limits of a deployment whose changes must take effect in some seconds.
pub(crate) const fn limits(apply: u64) -> ChangeLimits {
    let limit = Duration::from_secs(apply);
    let evacuate = Duration::from_secs(5);
    ChangeLimits { apply: limit, drain: limit, evacuate, stable: Duration::from_secs(apply + 1) }
}

/// The VMs, and what each knows of the configuration.
#[derive(Debug)]
pub(crate) struct Fleet {
    limits: ChangeLimits,
    pub(crate) recorders: BTreeMap<SocketAddr, Arc<Recorder>>,
    records: Vec<VmRecord>,
    tasks: BTreeMap<SocketAddr, JoinSet<()>>,
    pub(crate) world: Arc<World>,
}

impl Fleet {
    pub(crate) fn start(limits: ChangeLimits, records: impl Iterator<Item = VmRecord>) -> Self {
        Self::start_in(World::default(), limits, records)
    }

    /// Starts a fleet in a world without a store yet.
    pub(crate) fn start_in(
        world: World,
        limits: ChangeLimits,
        records: impl Iterator<Item = VmRecord>,
    ) -> Self {
        let store = StoreState { configuration: 1, targets: 2, oldest: 0, deaf: false };
        let records: Vec<VmRecord> = records.collect();
        let (recorders, tasks) = (BTreeMap::new(), BTreeMap::new());
        let world = Arc::new(World { store: watch::Sender::new(store), ..world });
        let mut fleet = Self { limits, recorders, records: records.clone(), tasks, world };
        records.iter().for_each(|record| fleet.start_vm(record));
        fleet
    }

    /// Starts one more VM, which all others know of from the store.
    pub(crate) fn join(&mut self, record: &VmRecord) {
        for (_, router) in self.world.caches.lock().unwrap().values() {
            router.fleet().add_registered(record.clone());
        }
        self.records.push(record.clone());
        self.start_vm(record);
    }

    /// Ends the process of a VM.
    pub(crate) fn stop(&mut self, vm: SocketAddr) {
        self.tasks.remove(&vm);
    }

    fn start_vm(&mut self, record: &VmRecord) {
        let router = Arc::new(router_of(record.clone(), Arc::new(EmptyTargets)));
        self.records.iter().for_each(|vm| router.fleet().add_registered(vm.clone()));
        let names = self.records.iter().map(|vm| vm.name.clone()).collect();
        router.fleet().set_registry_read(&names);
        let cache = ObjectCache::new();
        let known = (Arc::clone(&cache), Arc::clone(&router));
        self.world.caches.lock().unwrap().insert(record.peers, known);
        let (recorder, tasks) = self.start_flows(record, &router, &cache);
        self.tasks.insert(record.peers, tasks);
        self.recorders.insert(record.peers, recorder);
    }

    /// Starts the flows of a VM as its process does, and returns what it knows of the configuration.
    fn start_flows(
        &self,
        record: &VmRecord,
        router: &Arc<Router>,
        cache: &Arc<ObjectCache>,
    ) -> (Arc<Recorder>, JoinSet<()>) {
        let (mut tasks, world, limits) = (JoinSet::new(), &self.world, self.limits);
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
        (Arc::clone(&recorders[0]), tasks)
    }
}

/// Changes the targets all the time.
pub(crate) async fn change_targets(world: &World) {
    loop {
        sleep(CHANGE_PERIOD).await;
        world.store.send_modify(|state| state.targets = state.revision() + 1);
    }
}
