//! Tracks which entry VMs are alive.

use super::{VmHello, VmRecord};
use crate::{AvailabilityZoneName, ObjectHash, RegionName, VmName};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// State of another VM as known to this one.
#[derive(Clone, Debug)]
struct Peer {
    leaving: bool,
    /// When a delegate of the VM's region last reported it as live.
    reported_at: Option<Instant>,
    /// When the VM last sent a hello or a reply.
    seen_at: Option<Instant>,
    /// When the VM last reported that it can't reach the store.
    store_lost: Option<Instant>,
    vm: VmRecord,
}

impl Peer {
    fn new(vm: VmRecord) -> Self {
        Self { leaving: false, reported_at: None, seen_at: None, store_lost: None, vm }
    }

    fn is_live(&self, now: Instant) -> bool {
        let within = |at: Option<Instant>, limit| at.is_some_and(|at| now - at < limit);
        let seen = within(self.seen_at, FleetView::HELLO_TIMEOUT);
        !self.leaving && (seen || within(self.reported_at, FleetView::REPORT_TIMEOUT))
    }
}

/// Everything that the lock of a `FleetView` protects.
#[derive(Debug, Default)]
struct FleetViewState {
    leaving: bool,
    /// Whether all registered VMs have been read since the start.
    registry_read: bool,
    peers: BTreeMap<VmName, Peer>,
    seeds: BTreeSet<SocketAddr>,
    /// When the store became unreachable for this VM; `None` while it is reachable.
    store_lost: Option<Instant>,
}

impl FleetViewState {
    fn live(&self, now: Instant) -> impl Iterator<Item = &VmRecord> {
        self.peers.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.vm)
    }
}

/// Returns the delegates among some VMs: those with the most CPU capacity. Ties are broken by a
/// hash of the names, so that all VMs choose the same ones.
fn choose_delegates<'a>(vms: impl Iterator<Item = &'a VmRecord>) -> Vec<&'a VmRecord> {
    let mut vms: Vec<&VmRecord> = vms.collect();
    let hash = ObjectHash::new("delegate", b"");
    vms.sort_by_cached_key(|vm| {
        let rank = (hash.rank(vm.name.as_str()) * f64::from(u32::MAX)) as u32;
        (Reverse(vm.capacity), rank)
    });
    vms.truncate(FleetView::DELEGATES);
    vms
}

/// The entry VMs known to this one, and whether each is alive.
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
    inner: Mutex<FleetViewState>,
    vm: VmRecord,
}

impl FleetView {
    /// Maximum number of addresses in a directory response.
    pub const MAX_ADDRESSES: usize = 64;
    /// Number of delegates of a region: one, and a spare in case it fails.
    pub const DELEGATES: usize = 2;
    /// Maximum size of a fleet in which every VM exchanges hellos with all others.
    pub const MAX_MESH_VMS: usize = 16;
    /// Maximum size of a region in which every VM reads the store itself.
    pub const MAX_DIRECT_VMS: usize = 4;
    /// Time without a hello after which a VM counts as failed: three intervals and a reply timeout.
    pub const HELLO_TIMEOUT: Duration = Duration::from_millis(2_500);
    /// Time for which a report from another region's delegate is valid: two of its hello intervals
    /// and a margin.
    pub const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

    /// Creates the view of a VM that knows only itself.
    pub fn new(vm: VmRecord) -> Self {
        Self { inner: Mutex::default(), vm }
    }

    fn lock(&self) -> MutexGuard<'_, FleetViewState> {
        self.inner.lock().expect("no holder of the view's lock panics")
    }

    /// Returns this VM.
    pub fn vm(&self) -> &VmRecord {
        &self.vm
    }

    /// Returns the hello for a VM in a region. A delegate reports its own region's live VMs to
    /// other regions; in a small fleet each VM tracks all others itself.
    pub fn hello_to(&self, region: &RegionName) -> VmHello {
        let now = Instant::now();
        let inner = self.lock();
        let (leaving, store_lost) = (inner.leaving, inner.store_lost.is_some());
        let mut live = BTreeSet::new();
        if *region != self.vm.region && inner.peers.len() >= Self::MAX_MESH_VMS {
            let near = || inner.live(now).filter(|vm| vm.region == self.vm.region);
            let delegates = choose_delegates(near().chain([&self.vm]));
            if delegates.iter().any(|vm| vm.name == self.vm.name) {
                live = near().map(|vm| vm.name.clone()).collect();
            }
        }
        VmHello { leaving, limits: Vec::new(), live, store_lost, vm: self.vm.clone() }
    }

    /// Returns the hello for the VM at an address.
    pub fn hello_at(&self, peer: SocketAddr) -> VmHello {
        let region = self.region_at(peer).unwrap_or_else(|| self.vm.region.clone());
        self.hello_to(&region)
    }

    /// Returns whether the VM at an address is in another region.
    pub fn is_remote(&self, peer: SocketAddr) -> bool {
        self.region_at(peer).is_some_and(|region| region != self.vm.region)
    }

    fn region_at(&self, peer: SocketAddr) -> Option<RegionName> {
        let inner = self.lock();
        let found = inner.peers.values().find(|known| known.vm.peers == peer);
        found.map(|known| known.vm.region.clone())
    }

    /// Removes this VM from all directories.
    pub fn leave(&self) {
        self.lock().leaving = true;
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
            inner.peers.insert(vm.name.clone(), Peer::new(vm));
        }
    }

    /// Records that all registered VMs have been read.
    pub fn set_registry_read(&self) {
        self.lock().registry_read = true;
    }

    /// Returns whether all registered VMs have been read since the start; until then this VM
    /// doesn't know how many VMs share a limit.
    pub fn is_registry_read(&self) -> bool {
        self.lock().registry_read
    }

    /// Removes a VM that is no longer registered, unless it is alive.
    pub fn remove_registered(&self, name: &VmName) {
        let now = Instant::now();
        self.lock().peers.retain(|known, peer| known != name || peer.is_live(now));
    }

    /// Records a hello or a reply.
    pub fn record_hello(&self, hello: VmHello) {
        if hello.vm.name == self.vm.name {
            return;
        }
        let mut inner = self.lock();
        let name = hello.vm.name.clone();
        let known = inner.peers.get(&name);
        if known.is_some_and(|known| known.vm.incarnation > hello.vm.incarnation) {
            return;
        }
        let now = Instant::now();
        let store_lost =
            if hello.store_lost { Some(now) } else { known.and_then(|known| known.store_lost) };
        let reported_at = None;
        for peer in inner.peers.values_mut() {
            let reported = peer.vm.region == hello.vm.region && !hello.live.is_empty();
            if reported {
                peer.reported_at = hello.live.contains(&peer.vm.name).then_some(now);
            }
        }
        let seen_at = Some(now);
        let peer = Peer { leaving: hello.leaving, reported_at, seen_at, store_lost, vm: hello.vm };
        inner.peers.insert(name, peer);
    }

    /// Returns whether this VM reads the store itself: it is a delegate of its region, or the
    /// region is small.
    pub fn reads_store(&self) -> bool {
        self.delegates().iter().any(|vm| vm.name == self.vm.name)
    }

    /// Returns whether delegates read the store for the other VMs of this region.
    pub fn has_delegates(&self) -> bool {
        let now = Instant::now();
        let inner = self.lock();
        // This VM belongs to the region too, but isn't among its own peers.
        inner.live(now).filter(|vm| vm.region == self.vm.region).count() >= Self::MAX_DIRECT_VMS
    }

    /// Returns the VMs of this region that read the store for the others; in a small region, all of
    /// them.
    pub fn delegates(&self) -> Vec<VmRecord> {
        let now = Instant::now();
        let inner = self.lock();
        let own = (!inner.leaving).then_some(&self.vm);
        let near = inner.live(now).filter(|vm| vm.region == self.vm.region).chain(own);
        let near: Vec<&VmRecord> = near.collect();
        if near.len() <= Self::MAX_DIRECT_VMS {
            return near.into_iter().cloned().collect();
        }
        choose_delegates(near.into_iter()).into_iter().cloned().collect()
    }

    /// Records that this VM can't reach the store.
    pub fn record_store_lost(&self) {
        self.lock().store_lost.get_or_insert_with(Instant::now);
    }

    /// Records that this VM reaches the store again, and returns whether the store itself was down:
    /// most of the VMs that sent a hello in the meantime could not reach it either.
    pub fn record_store_recovered(&self) -> bool {
        let mut inner = self.lock();
        let Some(since) = inner.store_lost.take() else { return false };
        let since_loss = |at: Option<Instant>| at.is_some_and(|at| at >= since);
        let lost = inner.peers.values().filter(|peer| since_loss(peer.store_lost)).count();
        let seen = inner.peers.values().filter(|peer| since_loss(peer.seen_at)).count();
        2 * lost > seen
    }

    /// Records that the VM at an address refuses connections.
    pub fn record_refused(&self, address: SocketAddr) {
        for peer in self.lock().peers.values_mut().filter(|peer| peer.vm.peers == address) {
            peer.seen_at = None;
            peer.reported_at = None;
        }
    }

    /// Returns the addresses of the VMs to send hellos to: all of a small fleet; otherwise those of
    /// this VM's region, the delegates of the other regions, and seeds whose VMs aren't known yet.
    pub fn hello_peers(&self) -> BTreeSet<SocketAddr> {
        let now = Instant::now();
        let inner = self.lock();
        let all = || inner.peers.values().map(|peer| &peer.vm);
        if inner.peers.len() < Self::MAX_MESH_VMS {
            return all().map(|vm| vm.peers).chain(inner.seeds.iter().copied()).collect();
        }
        let known: BTreeSet<SocketAddr> = all().map(|vm| vm.peers).collect();
        let mut found: BTreeSet<SocketAddr> = inner.seeds.difference(&known).copied().collect();
        found.extend(all().filter(|vm| vm.region == self.vm.region).map(|vm| vm.peers));
        let regions: BTreeSet<&RegionName> = all().map(|vm| &vm.region).collect();
        for region in regions.into_iter().filter(|region| **region != self.vm.region) {
            let live: Vec<_> = inner.live(now).filter(|vm| vm.region == *region).collect();
            let known = all().filter(|vm| vm.region == *region);
            let chosen = if live.is_empty() {
                choose_delegates(known)
            } else {
                choose_delegates(live.into_iter())
            };
            found.extend(chosen.into_iter().map(|vm| vm.peers));
        }
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
            let fit = live.iter().filter(|vm| fits(&vm.zone, &vm.region));
            let mut found: Vec<SocketAddr> = fit.map(|vm| vm.callers).collect();
            found.truncate(Self::MAX_ADDRESSES);
            found
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
