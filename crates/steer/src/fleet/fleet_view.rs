//! Tracks which entry VMs are alive.

use super::{
    RelayRole, RelayTree, VmHello, VmRecord,
    fleet_state::{FleetState, Peer},
};
use crate::{AvailabilityZoneName, CrashTable, ObjectHash, RegionName, VmName};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// The entry VMs known to this one, and whether each is alive.
///
/// In a small fleet all VMs exchange hellos. In a large one, the delegates of an availability zone
/// exchange them with its VMs, and tell them and other delegates who lives there.
///
/// ```
/// use steer::{FleetView, VmRecord};
/// let vm = VmRecord {
///     callers: "10.0.0.1:80".parse().unwrap(),
///     capacity: 200,
///     incarnation: 1,
///     name: "entry-1".into(),
///     peers: "10.0.0.1:81".parse().unwrap(),
///     region: "lisboa".into(),
///     zone: "lis-a".into(),
/// };
/// let view = FleetView::new(vm.clone());
/// assert_eq!(view.caller_addresses("lis-a", "lisboa", &Default::default()), [vm.callers]);
/// ```
#[derive(Debug)]
pub struct FleetView {
    inner: Mutex<FleetState>,
    /// Changes when a VM begins to leave or refuses connections.
    news: watch::Sender<()>,
    /// Whether all registered VMs have been read since the start.
    registry_read: watch::Sender<bool>,
    /// Whether this VM's own calls to the store fail.
    store_lost: watch::Sender<bool>,
    vm: VmRecord,
}

impl FleetView {
    /// Maximum number of addresses in a directory response.
    pub const MAX_ADDRESSES: usize = 64;
    /// Time between two hellos to a peer of the same region.
    pub const HELLO_PERIOD: Duration = Duration::from_millis(700);
    /// Time since a delegate's last hello within which a VM of its zone sends none itself.
    const HEARD_TIME: Duration = Duration::from_millis(1_100);

    /// Creates the view of a VM that knows only itself.
    pub fn new(vm: VmRecord) -> Self {
        Self {
            inner: Mutex::new(FleetState::new(vm.clone())),
            news: watch::Sender::new(()),
            registry_read: watch::Sender::new(false),
            store_lost: watch::Sender::new(false),
            vm,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.inner.lock().expect("no holder of the view's lock panics")
    }

    /// Returns this VM.
    pub fn vm(&self) -> &VmRecord {
        &self.vm
    }

    /// Returns the hello for a VM.
    pub fn hello_to(&self, peer: &VmRecord) -> VmHello {
        let now = Instant::now();
        let mut inner = self.lock();
        let reports = Some(inner.reports_for(peer, now));
        let live = inner.live_for(peer, now);
        let known = inner.peers.get_mut(&peer.name);
        let wanted = known.map(|known| std::mem::take(&mut known.wanted)).unwrap_or_default();
        VmHello { live, reports, wanted, ..inner.hello() }
    }

    /// Returns the hello for the VM at an address.
    pub fn hello_at(&self, peer: SocketAddr) -> VmHello {
        match self.vm_at(peer) {
            Some(peer) => self.hello_to(&peer),
            None => self.lock().hello(),
        }
    }

    /// Returns whether the VM at an address is in another region.
    pub fn is_remote(&self, peer: SocketAddr) -> bool {
        self.vm_at(peer).is_some_and(|vm| vm.region != self.vm.region)
    }

    /// Returns the known VM at an address.
    pub fn vm_at(&self, peer: SocketAddr) -> Option<VmRecord> {
        let inner = self.lock();
        let found = inner.peers.values().find(|known| known.vm.peers == peer);
        found.map(|known| known.vm.clone())
    }

    /// Returns whether a VM may have missed what this VM told before: it is unknown, or began to send
    /// hellos not long ago.
    pub fn is_new(&self, peer: &VmName) -> bool {
        let now = Instant::now();
        let inner = self.lock();
        let known = inner.peers.get(peer);
        known.is_none_or(|known| now.duration_since(known.known_at) < CrashTable::NEWS_TIME)
    }

    /// Returns whether the next regular hello to a VM can be left out: it is a delegate of this VM's
    /// zone, which sends hellos itself, and has just done so.
    pub fn may_skip_hello(&self, peer: SocketAddr) -> bool {
        let now = Instant::now();
        let mut inner = self.lock();
        if !inner.is_large() || inner.is_zone_delegate(now) {
            return false;
        }
        let tree = inner.tree(now);
        let delegate = tree.zone_delegates(&self.vm.zone).iter().find(|vm| vm.peers == peer);
        let delegate = delegate.and_then(|vm| inner.peers.get(&vm.name));
        let heard_at = delegate.filter(|peer| peer.wanted.is_empty()).and_then(|peer| peer.seen_at);
        heard_at.is_some_and(|at| now.duration_since(at) < Self::HEARD_TIME)
    }

    /// Removes this VM from all directories.
    pub fn leave(&self) {
        let mut inner = self.lock();
        inner.leaving = true;
        inner.discard_tree();
    }

    /// Sets the seed addresses: VMs to send hellos to before their names are known.
    pub fn set_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let seeds = seeds.into_iter().filter(|address| *address != self.vm.peers);
        self.lock().seeds = seeds.collect();
    }

    /// Adds a registered VM that has not sent a hello yet.
    pub fn add_registered(&self, vm: VmRecord) {
        if vm.name == self.vm.name {
            return;
        }
        let mut inner = self.lock();
        let known = inner.peers.get(&vm.name);
        if known.is_none_or(|known| known.vm.incarnation < vm.incarnation) {
            inner.peers.insert(vm.name.clone(), Peer::new(vm, Instant::now()));
            inner.discard_tree();
        }
    }

    /// Records that all registered VMs have been read, and removes the others unless they are alive.
    ///
    /// ```
    /// # use steer::{FleetView, VmRecord};
    /// # let vm = |name: &str| VmRecord {
    /// #     callers: "10.0.0.1:80".parse().unwrap(),
    /// #     capacity: 200,
    /// #     incarnation: 1,
    /// #     name: name.into(),
    /// #     peers: "10.0.0.1:81".parse().unwrap(),
    /// #     region: "lisboa".into(),
    /// #     zone: "lis-a".into(),
    /// # };
    /// let view = FleetView::new(vm("entry-1"));
    /// view.add_registered(vm("entry-2"));
    /// view.set_registry_read(&["entry-1".into()].into());
    /// assert_eq!(view.known().len(), 1);
    /// ```
    pub fn set_registry_read(&self, registered: &BTreeSet<VmName>) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.registry_read = true;
        let gone = inner.peers.values().filter(|peer| !registered.contains(&peer.vm.name));
        let gone = gone.filter(|peer| !inner.is_live(peer, now));
        let gone: Vec<VmName> = gone.map(|peer| peer.vm.name.clone()).collect();
        for name in gone {
            inner.peers.remove(&name);
        }
        inner.discard_tree();
        drop(inner);
        self.registry_read.send_replace(true);
    }

    /// Returns whether all registered VMs have been read since the start; until then this VM
    /// doesn't know how many VMs share a limit.
    pub fn is_registry_read(&self) -> bool {
        *self.registry_read.borrow()
    }

    /// Waits until all registered VMs have been read since the start.
    pub async fn wait_registry_read(&self) {
        // The channel can't be closed, as `self` holds the sender.
        let _ = self.registry_read.subscribe().wait_for(|read| *read).await;
    }

    /// Removes a VM that is no longer registered, unless it is alive.
    pub fn remove_registered(&self, name: &VmName) {
        let now = Instant::now();
        let mut inner = self.lock();
        if inner.peers.get(name).is_some_and(|peer| !inner.is_live(peer, now)) {
            inner.peers.remove(name);
            inner.discard_tree();
        }
    }

    /// Records a hello or a reply.
    pub fn record_hello(&self, hello: VmHello) {
        if hello.vm.name == self.vm.name {
            return;
        }
        let now = Instant::now();
        let mut inner = self.lock();
        let known = inner.peers.get(&hello.vm.name);
        if known.is_some_and(|known| known.vm.incarnation > hello.vm.incarnation) {
            return;
        }
        let wanted = inner.record_reports(&hello, now);
        let known = inner.peers.remove(&hello.vm.name);
        let was_leaving = known.as_ref().is_some_and(|known| known.leaving);
        let describe = |peer: &Peer| (peer.was_seen(now), peer.leaving, peer.store_lost);
        let before = known.as_ref().map(describe);
        let mut peer = Peer::after_hello(known, hello, now);
        peer.wanted.extend(wanted);
        let (after, is_leaving) = (describe(&peer), peer.leaving);
        inner.peers.insert(peer.vm.name.clone(), peer);
        if before != Some(after) {
            inner.discard_tree();
        }
        drop(inner);
        if is_leaving && !was_leaving {
            self.news.send_replace(());
        }
    }

    /// Returns a channel that changes when a VM begins to leave or refuses connections, so that
    /// delegates report it before their next regular hello.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// Returns whether this VM reports the live VMs of its zone to others.
    pub fn is_zone_delegate(&self) -> bool {
        let mut inner = self.lock();
        inner.is_large() && inner.is_zone_delegate(Instant::now())
    }

    /// Returns the tree along which updates of the store are relayed.
    pub fn tree(&self) -> Arc<RelayTree> {
        self.lock().tree(Instant::now())
    }

    /// Returns the position of this VM in the tree.
    pub fn role(&self) -> RelayRole {
        self.tree().role()
    }

    /// Returns whether some VMs read the store for others, as far as this VM is concerned.
    pub fn has_delegates(&self) -> bool {
        let now = Instant::now();
        let inner = self.lock();
        // This VM belongs to the region too, but isn't among its own peers.
        let near = inner.live(now).filter(|vm| vm.region == self.vm.region).count();
        inner.is_large() || near >= RelayTree::MAX_DIRECT_VMS
    }

    /// Returns whether the VMs above this one in the tree are live and have reported that they can't
    /// reach the store.
    pub fn upstreams_lost_store(&self) -> bool {
        let now = Instant::now();
        let mut inner = self.lock();
        let tree = inner.tree(now);
        let upstreams = inner
            .peers
            .values()
            .filter(|peer| tree.upstreams().contains(&peer.vm.peers) && peer.was_seen(now));
        let (mut heard, mut lost) = (0, 0);
        for peer in upstreams {
            heard += 1;
            lost += u32::from(peer.store_lost);
        }
        heard > 0 && lost == heard
    }

    /// Records whether this VM's own calls to the store fail. Other VMs are told at once, as they choose
    /// by that who reads the store for others.
    ///
    /// ```
    /// # use steer::{FleetView, VmRecord};
    /// # let vm = VmRecord {
    /// #     callers: "10.0.0.1:80".parse().unwrap(),
    /// #     capacity: 200,
    /// #     incarnation: 1,
    /// #     name: "entry-1".into(),
    /// #     peers: "10.0.0.1:81".parse().unwrap(),
    /// #     region: "lisboa".into(),
    /// #     zone: "lis-a".into(),
    /// # };
    /// let view = FleetView::new(vm);
    /// view.set_store_lost(true);
    /// assert!(view.hello_at("10.0.0.2:81".parse().unwrap()).store_lost);
    /// ```
    pub fn set_store_lost(&self, is_lost: bool) {
        let mut inner = self.lock();
        if inner.store_lost == is_lost {
            return;
        }
        inner.store_lost = is_lost;
        inner.discard_tree();
        drop(inner);
        self.store_lost.send_replace(is_lost);
    }

    /// Returns a channel with whether this VM's own calls to the store fail.
    pub fn store_lost(&self) -> watch::Receiver<bool> {
        self.store_lost.subscribe()
    }

    /// Returns whether this VM's own calls to the store fail.
    pub fn is_store_lost(&self) -> bool {
        self.lock().store_lost
    }

    /// Returns a channel that changes when the tree may have changed.
    pub fn tree_changes(&self) -> watch::Receiver<()> {
        self.lock().tree_changes.subscribe()
    }

    /// Returns whether this VM reads the store if those that do so fail: in a small fleet each one, in a
    /// large one the delegates.
    pub fn may_read_store(&self) -> bool {
        let mut inner = self.lock();
        !inner.is_large() || inner.tree(Instant::now()).role() != RelayRole::Member
    }

    /// Records that no changes in the store reach this VM.
    pub fn record_outdated(&self) {
        self.lock().outdated.get_or_insert_with(Instant::now);
    }

    /// Records that this VM learns of changes in the store again, and returns whether the store itself
    /// was down: no changes reached most of the VMs that sent a hello in the meantime.
    pub fn record_current(&self) -> bool {
        let mut inner = self.lock();
        let Some(since) = inner.outdated.take() else { return false };
        let is_later = |at: Option<Instant>| at.is_some_and(|at| at >= since);
        let outdated = inner.peers.values().filter(|peer| is_later(peer.outdated_at)).count();
        let seen = inner.peers.values().filter(|peer| is_later(peer.seen_at)).count();
        2 * outdated > seen
    }

    /// Records that the VM at an address refuses connections.
    pub fn record_refused(&self, address: SocketAddr) {
        let now = Instant::now();
        let mut inner = self.lock();
        let (mut was_live, mut is_news) = (false, false);
        for peer in inner.peers.values_mut().filter(|peer| peer.vm.peers == address) {
            was_live |= peer.was_seen(now);
            is_news |= peer.refused_at.is_none() || peer.seen_at.is_some();
            peer.refused_at = Some(now);
            peer.seen_at = None;
            peer.sent.clear();
        }
        if is_news {
            inner.discard_tree();
        }
        drop(inner);
        if was_live {
            self.news.send_replace(());
        }
    }

    /// Records that the VM at an address did not reply to a hello, which it may not have received.
    pub fn record_no_reply(&self, address: SocketAddr) {
        for peer in self.lock().peers.values_mut().filter(|peer| peer.vm.peers == address) {
            peer.sent.clear();
        }
    }

    /// Returns the addresses of the VMs to send hellos to: all of a small fleet; otherwise those for
    /// which this VM is a delegate, its own delegates, and seeds whose VMs aren't known yet.
    pub fn hello_peers(&self) -> BTreeSet<SocketAddr> {
        let now = Instant::now();
        let mut inner = self.lock();
        if !inner.is_large() {
            let all = inner.peers.values().map(|peer| peer.vm.peers);
            return all.chain(inner.seeds.iter().copied()).collect();
        }
        let (tree, is_region_delegate) = (inner.tree(now), inner.is_region_delegate(now));
        let is_zone_delegate = inner.is_zone_delegate(now);
        let all = || inner.peers.values().map(|peer| &peer.vm);
        let near = || inner.peers.values().filter(|peer| peer.vm.region == self.vm.region);
        let known: BTreeSet<SocketAddr> = all().map(|vm| vm.peers).collect();
        let mut found: BTreeSet<SocketAddr> = inner.seeds.difference(&known).copied().collect();
        // VMs that can't read reports learn of others, and are reported to others, only by hellos.
        if near().any(|peer| !peer.reads_reports && inner.is_live(peer, now)) {
            found.extend(near().map(|peer| peer.vm.peers));
        }
        let mut add = |vms: &[VmRecord]| found.extend(vms.iter().map(|vm| vm.peers));
        add(tree.zone_delegates(&self.vm.zone));
        if is_zone_delegate {
            let zones: BTreeSet<_> = near().map(|peer| &peer.vm.zone).collect();
            zones.into_iter().for_each(|zone| add(tree.zone_delegates(zone)));
            found.extend(all().filter(|vm| vm.zone == self.vm.zone).map(|vm| vm.peers));
        }
        if is_region_delegate {
            let regions: BTreeSet<_> = all().map(|vm| &vm.region).collect();
            let mut add = |vms: &[VmRecord]| found.extend(vms.iter().map(|vm| vm.peers));
            regions.into_iter().for_each(|region| add(tree.region_delegates(region)));
        }
        found.remove(&self.vm.peers);
        found
    }

    /// Returns the names of all VMs that are registered or have sent a hello, including this one.
    /// VMs that can't be reached are included, so that limits shared by the fleet hold then too.
    pub fn known(&self) -> BTreeSet<VmName> {
        let inner = self.lock();
        inner.peers.keys().chain([&self.vm.name]).cloned().collect()
    }

    /// Returns the addresses that a caller in a zone should use: the live VMs of its zone,
    /// otherwise those of its region, otherwise those of its home regions, otherwise all. Its own
    /// region is used even if it is not one of the home regions.
    pub fn caller_addresses(
        &self,
        zone: &str,
        region: &str,
        homes: &BTreeSet<RegionName>,
    ) -> Vec<SocketAddr> {
        let now = Instant::now();
        let inner = self.lock();
        let own = (!inner.leaving).then_some(&self.vm);
        let live: Vec<&VmRecord> = inner.live(now).chain(own).collect();
        let find = |fits: &dyn Fn(&AvailabilityZoneName, &RegionName) -> bool| {
            let mut fit: Vec<_> = live.iter().filter(|vm| fits(&vm.zone, &vm.region)).collect();
            if fit.len() > Self::MAX_ADDRESSES {
                // Each VM names others, so that the callers of a lost zone spread over the region.
                let hash = ObjectHash::new("callers", self.vm.name.as_str().as_bytes());
                fit.sort_by_cached_key(|vm| {
                    (hash.rank(vm.name.as_str()) * f64::from(u32::MAX)) as u32
                });
                fit.truncate(Self::MAX_ADDRESSES);
            }
            fit.into_iter().map(|vm| vm.callers).collect::<Vec<SocketAddr>>()
        };
        let in_zone = find(&|z, _| z.as_str() == zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = find(&|_, r| r.as_str() == region);
        if !in_region.is_empty() {
            return in_region;
        }
        let in_homes = find(&|_, r| homes.contains(r));
        if !in_homes.is_empty() {
            return in_homes;
        }
        find(&|_, _| true)
    }
}
