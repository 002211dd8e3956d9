//! The shared state of an entry VM.

use super::EntryPorts;
use crate::{
    BufferBudget, ClientBlock, CrossZoneState, EntryVm, ExchangeState, Heartbeat, InFlight,
    LookupAnswer, LookupCandidate, LookupIndex, LookupVm, MemberWeights, MembershipTable,
    PeerMessage, PeerRecord, PeerReply, PoisonDetector, PoolKey, PutError, RegionName, Rejection,
    Settings, SettingsDocument, SettingsQuery, SettingsTree, Snapshot, TargetName, TargetPool,
    VmName, VmState, choose_owner, order_vms,
};
use slog::{Logger, info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64;

/// The shared state of an entry VM. Flows read and change it through short calls; no lock is held
/// across an await.
#[derive(Debug)]
pub struct EntryNode {
    leaving: Mutex<BTreeSet<TargetName>>,
    log: Logger,
    lookups: LookupIndex,
    members: Mutex<MembershipTable>,
    /// For the requests that are buffered.
    buffers: BufferBudget,
    poison: PoisonDetector,
    pools: Mutex<BTreeMap<PoolKey, Arc<TargetPool>>>,
    ports: EntryPorts,
    snapshot: watch::Sender<Arc<Snapshot>>,
    state: watch::Receiver<VmState>,
    exchange: ExchangeState,
    tree: Mutex<SettingsTree>,
    in_flight: Arc<InFlight>,
    vm: EntryVm,
    work: TaskTracker,
    zones: CrossZoneState,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of a node's lock panics")
}

impl EntryNode {
    /// How long a caller may cache the answer to a lookup.
    pub const LOOKUP_MAX_AGE: Duration = Duration::from_secs(5);

    /// Creates the state of an entry VM without settings and peers.
    pub fn new(
        vm: EntryVm,
        ports: EntryPorts,
        state: watch::Receiver<VmState>,
        log: Logger,
    ) -> Self {
        Self {
            leaving: Mutex::default(),
            log,
            lookups: LookupIndex::default(),
            members: Mutex::default(),
            buffers: BufferBudget::new(BufferBudget::ROUTER_BYTES),
            poison: PoisonDetector::new(),
            pools: Mutex::default(),
            ports,
            snapshot: watch::Sender::new(Arc::default()),
            state,
            exchange: ExchangeState::default(),
            tree: Mutex::default(),
            zones: CrossZoneState::new(&vm),
            in_flight: Arc::default(),
            vm,
            work: TaskTracker::new(),
        }
    }

    /// The logger.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The port adapters.
    pub fn ports(&self) -> &EntryPorts {
        &self.ports
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, MembershipTable> {
        lock(&self.members)
    }

    pub(crate) fn state_receiver(&self) -> &watch::Receiver<VmState> {
        &self.state
    }

    pub(crate) fn exchange_state(&self) -> &ExchangeState {
        &self.exchange
    }

    /// The identity of this VM.
    pub fn vm(&self) -> &EntryVm {
        &self.vm
    }

    /// State for decisions between availability zones.
    pub fn zones(&self) -> &CrossZoneState {
        &self.zones
    }

    /// Reads the table of peers.
    pub fn with_members<T>(&self, read: impl FnOnce(&MembershipTable) -> T) -> T {
        read(&lock(&self.members))
    }

    /// Tracker of requests in flight: each holds a token until its response ends.
    pub fn work(&self) -> &TaskTracker {
        &self.work
    }

    /// Counts of requests in flight by class.
    pub fn in_flight(&self) -> &Arc<InFlight> {
        &self.in_flight
    }

    /// Returns the limit on requests that are buffered.
    pub fn buffer_budget(&self) -> &BufferBudget {
        &self.buffers
    }

    /// Tracker of requests that crashed targets.
    pub fn poison(&self) -> &PoisonDetector {
        &self.poison
    }

    /// The state of this VM's life cycle.
    pub fn state(&self) -> VmState {
        *self.state.borrow()
    }

    /// The settings in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    /// Watches the settings in force.
    pub fn watch_snapshot(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshot.subscribe()
    }

    /// Checks a document and puts it in force if it is newer; returns whether it came into force.
    pub fn offer_settings(&self, document: &SettingsDocument) -> bool {
        let SettingsDocument { path, text, version } = document;
        let mut tree = lock(&self.tree);
        if tree.version(path).is_some_and(|current| current >= *version) {
            return false;
        }
        let checked = match Settings::new(path.clone(), *version, Arc::clone(text)).check() {
            Ok(checked) => checked,
            Err(problems) => {
                let first = problems.first().map(ToString::to_string).unwrap_or_default();
                warn!(self.log, "settings: refused a document";
                    "path" => %path, "version" => version, "reason" => first);
                tree.record_refusal(path.clone(), *version, problems);
                return false;
            }
        };
        let before: Vec<_> = tree.versions().map(|(path, v)| (path.clone(), v)).collect();
        match tree.put_in_force(checked) {
            Ok(()) => {}
            Err(PutError::OutOfBounds(problems)) => {
                let first = problems.first().map(ToString::to_string).unwrap_or_default();
                warn!(self.log, "settings: refused a document outside its team's bounds";
                    "path" => %path, "version" => version, "reason" => first);
                return false;
            }
            Err(PutError::Stale { .. } | PutError::Waiting) => return false,
        }
        // Documents that waited may have come into force with this one.
        let changed: Vec<_> = tree
            .versions()
            .map(|(path, v)| (path.clone(), v))
            .filter(|version| !before.contains(version))
            .collect();
        let snapshot = Arc::new(tree.to_snapshot());
        drop(tree);
        self.apply_snapshot(snapshot);
        for (path, version) in &changed {
            info!(self.log, "settings: in force"; "path" => %path, "version" => version);
            self.record_settings_change(path);
        }
        true
    }

    fn apply_snapshot(&self, snapshot: Arc<Snapshot>) {
        if let Some(fleet) = snapshot.fleet() {
            self.lookups.set_blocks(&fleet.blocks);
            self.lookups.clear_nearest();
        }
        self.snapshot.send_replace(snapshot);
        self.refresh_pools();
    }

    /// Updates the pools of the served availability zones from the settings and drains.
    pub fn refresh_pools(&self) {
        let snapshot = self.snapshot();
        let now = self.ports.clock.now();
        let leaving = lock(&self.leaving).clone();
        let members = snapshot.fleet().map(|fleet| MemberWeights::new(&fleet.members));
        let pairs =
            snapshot.services().flat_map(|s| self.served_zones().into_iter().map(move |z| (s, z)));
        for (service, zone) in pairs {
            let key = PoolKey { service: service.name.clone(), zone };
            let targets = service.settings.targets.iter().filter(|(_, t)| t.zone == key.zone);
            let pool = self.pool(&key);
            pool.set_members(members.clone().unwrap_or_default());
            pool.set_targets(targets.map(|(name, target)| {
                let drained =
                    leaving.contains(name) || snapshot.is_drained(name, &target.zone, now);
                (name, target, drained)
            }));
        }
    }

    /// Sets the names of targets that are leaving.
    pub fn set_leaving(&self, names: BTreeSet<TargetName>) {
        *lock(&self.leaving) = names;
        self.refresh_pools();
    }

    /// The pool with this key, created on first use.
    pub fn pool(&self, key: &PoolKey) -> Arc<TargetPool> {
        let create = || {
            let seed = xxh3_64(format!("{}/{key}", self.vm.name).as_bytes());
            Arc::new(TargetPool::new(seed))
        };
        Arc::clone(lock(&self.pools).entry(key.clone()).or_insert_with(create))
    }

    /// The owner of a pool: this VM, a serving peer, or nobody.
    pub fn pool_owner(&self, key: &PoolKey) -> PoolOwner {
        let zone = self.serving_zone(&key.zone);
        let members = lock(&self.members);
        let peers: Vec<&PeerRecord> = members.serving_in(&zone, Instant::now()).collect();
        let names = peers.iter().map(|p| &p.vm.name);
        let here = self.vm.zone == zone && self.state().accepts_work();
        let own = here.then_some(&self.vm.name);
        match choose_owner(key, names.chain(own)) {
            None => PoolOwner::Unknown,
            Some(name) if *name == self.vm.name => PoolOwner::ThisVm,
            Some(name) => peers
                .iter()
                .find(|p| p.vm.name == *name)
                .map_or(PoolOwner::Unknown, |p| PoolOwner::Peer(Box::new(p.vm.clone()))),
        }
    }

    /// The heartbeat of this VM.
    pub fn heartbeat(&self) -> Heartbeat {
        let room = lock(&self.pools).iter().map(|(k, p)| (k.clone(), p.room())).collect();
        let digest = lock(&self.tree).digest();
        let refutation = self.members().refutation();
        Heartbeat { digest, refutation, room, state: self.state(), vm: self.vm.clone() }
    }

    /// Applies a peer's heartbeat; returns `false` if it is rejected, for example from another
    /// fleet or an older incarnation.
    pub fn accept_heartbeat(&self, beat: Heartbeat) -> bool {
        self.apply_heartbeat(beat).is_ok()
    }

    /// Answers a peer's message.
    ///
    /// # Errors
    ///
    /// The reason for a rejection.
    pub fn answer_peer(&self, message: PeerMessage) -> Result<PeerReply, Rejection> {
        match message {
            PeerMessage::Exchange(exchange) => {
                let from = exchange.from.clone();
                self.apply_exchange(exchange)?;
                let to = self.members().find_by_name(&from).map(|record| record.vm.clone());
                let to = to.ok_or(Rejection::UnknownSender)?;
                if self.exchange.lock().offers.contains_key(&from) {
                    self.wakeup_for(to.addresses.peers).notify_one();
                }
                Ok(PeerReply::Exchange(self.exchange_for(&to)))
            }
            PeerMessage::Heartbeat(beat) => {
                self.apply_heartbeat(beat)?;
                Ok(PeerReply::Heartbeat(self.heartbeat()))
            }
            PeerMessage::Lease(request) => Ok(PeerReply::Lease(self.answer_lease(request))),
            PeerMessage::Settings(query) => Ok(PeerReply::Settings(self.newer_settings(&query))),
            PeerMessage::Suspects(suspects) => {
                self.poison.merge(&suspects);
                Ok(PeerReply::Suspects(self.poison.newest()))
            }
        }
    }

    /// The query to a peer whose settings differ.
    pub fn settings_query(&self) -> SettingsQuery {
        let tree = lock(&self.tree);
        let versions = tree.versions().map(|(path, v)| (path.clone(), v)).collect();
        SettingsQuery { named: false, versions }
    }

    /// Live peers, sorted by name.
    pub fn peers(&self) -> Vec<PeerRecord> {
        lock(&self.members).live(Instant::now()).cloned().collect()
    }

    /// Addresses of the peers that exchange heartbeats with this VM or are in its zone.
    pub fn gossip_peers(&self) -> Vec<SocketAddr> {
        let is_close = |p: &PeerRecord| p.has_contact() || p.vm.zone == self.vm.zone;
        self.peers().iter().filter(|p| is_close(p)).map(|p| p.vm.addresses.peers).collect()
    }

    /// Reads the settings tree: versions in force, and refused versions with the reason.
    pub fn with_tree<T>(&self, read: impl FnOnce(&SettingsTree) -> T) -> T {
        read(&lock(&self.tree))
    }

    /// Answers a lookup for a client block: serving VMs, nearest to its home region first.
    pub fn look_up(&self, block: &ClientBlock) -> LookupAnswer {
        let home = self.lookups.home(block).unwrap_or_else(|| self.vm.region.clone());
        let nearest = self.lookups.nearest(&home, Instant::now(), || self.lookup_candidates(&home));
        LookupAnswer { max_age: Self::LOOKUP_MAX_AGE, vms: order_vms(block, &nearest) }
    }

    /// All serving VMs with the delay from a region.
    fn lookup_candidates(&self, home: &RegionName) -> Vec<LookupCandidate> {
        let snapshot = self.snapshot();
        let members = lock(&self.members);
        let own = self.state().accepts_work().then_some(&self.vm);
        let peers = members.serving(Instant::now()).map(|p| &p.vm);
        let candidate = |vm: &EntryVm| LookupCandidate {
            delay_ms: snapshot.region_delay_ms(home, &vm.region).unwrap_or(f64::MAX),
            vm: LookupVm {
                address: vm.addresses.callers,
                name: vm.name.clone(),
                zone: vm.zone.clone(),
            },
        };
        peers.chain(own).map(candidate).collect()
    }

    /// Returns whether a live VM with this name is known.
    pub fn knows(&self, name: &VmName) -> bool {
        lock(&self.members).live(Instant::now()).any(|p| p.vm.name == *name)
    }
}

/// The owner of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolOwner {
    /// This VM.
    ThisVm,
    /// No serving entry VM of the pool's availability zone is known.
    Unknown,
    /// A peer.
    Peer(Box<EntryVm>),
}
