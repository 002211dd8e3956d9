//! Which entry VMs are alive.

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

#[derive(Clone, Debug)]
struct Member {
    /// When the VM last greeted or replied.
    heard: Option<Instant>,
    leaving: bool,
    /// When the VM last said that it does not reach the store.
    lost: Option<Instant>,
    /// When a VM of its region last said that it lives.
    vouched: Option<Instant>,
    vm: VmRecord,
}

impl Member {
    fn new(vm: VmRecord) -> Self {
        Self { heard: None, leaving: false, lost: None, vouched: None, vm }
    }

    fn is_live(&self, now: Instant) -> bool {
        let within = |at: Option<Instant>, most| at.is_some_and(|at| now - at < most);
        let heard = within(self.heard, FleetView::SILENCE);
        !self.leaving && (heard || within(self.vouched, FleetView::VOUCHED))
    }
}

#[derive(Debug, Default)]
struct Inner {
    leaving: bool,
    /// The registered VMs were read as a whole.
    listed: bool,
    members: BTreeMap<VmName, Member>,
    seeds: BTreeSet<SocketAddr>,
    /// Since when this VM does not reach the store.
    store_lost: Option<Instant>,
}

impl Inner {
    fn live(&self, now: Instant) -> impl Iterator<Item = &VmRecord> {
        self.members.values().filter(move |m| m.is_live(now)).map(|m| &m.vm)
    }
}

/// The delegates among some VMs: those with most processor, others by a hash of their names, so
/// that all VMs choose alike.
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

/// The entry VMs that this one knows, and when it last heard each.
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
/// assert_eq!(view.callers_for("lis-a", "lisboa", &Default::default()), [vm.callers]);
/// ```
#[derive(Debug)]
pub struct FleetView {
    inner: Mutex<Inner>,
    vm: VmRecord,
}

impl FleetView {
    /// Most addresses in a directory answer.
    pub const MOST_ADDRESSES: usize = 64;
    /// Delegates of a region: one, and one more for when it is lost.
    pub const DELEGATES: usize = 2;
    /// Most VMs of a fleet in which each greets all others.
    pub const SMALL_FLEET: usize = 16;
    /// Most VMs of a region in which each reads the store itself.
    pub const SMALL_REGION: usize = 4;
    /// Silence after which a VM is taken for lost: three greetings and their time limit.
    pub const SILENCE: Duration = Duration::from_millis(2_500);
    /// Time for which the word of another region's delegate holds: two of its greetings.
    pub const VOUCHED: Duration = Duration::from_secs(5);

    /// Makes the view of a VM that knows only itself.
    pub fn new(vm: VmRecord) -> Self {
        Self { inner: Mutex::default(), vm }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the view's lock panics")
    }

    /// This VM.
    pub fn vm(&self) -> &VmRecord {
        &self.vm
    }

    /// What this VM tells another one in a region. A delegate tells those of other regions who
    /// lives in its own; in a small fleet each sees that for itself.
    pub fn hello_to(&self, region: &RegionName) -> VmHello {
        let now = Instant::now();
        let inner = self.lock();
        let (leaving, store_lost) = (inner.leaving, inner.store_lost.is_some());
        let mut live = BTreeSet::new();
        if *region != self.vm.region && inner.members.len() >= Self::SMALL_FLEET {
            let near = || inner.live(now).filter(|vm| vm.region == self.vm.region);
            let delegates = choose_delegates(near().chain([&self.vm]));
            if delegates.iter().any(|vm| vm.name == self.vm.name) {
                live = near().map(|vm| vm.name.clone()).collect();
            }
        }
        VmHello { leaving, live, store_lost, vm: self.vm.clone() }
    }

    /// What this VM tells the one at an address.
    pub fn hello_at(&self, peer: SocketAddr) -> VmHello {
        let region = self.region_at(peer).unwrap_or_else(|| self.vm.region.clone());
        self.hello_to(&region)
    }

    /// Whether the VM at an address stands in another region.
    pub fn is_remote(&self, peer: SocketAddr) -> bool {
        self.region_at(peer).is_some_and(|region| region != self.vm.region)
    }

    fn region_at(&self, peer: SocketAddr) -> Option<RegionName> {
        let inner = self.lock();
        let member = inner.members.values().find(|member| member.vm.peers == peer);
        member.map(|member| member.vm.region.clone())
    }

    /// Takes this VM out of all directories.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Takes addresses of VMs to greet whose names aren't known.
    pub fn set_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let seeds = seeds.into_iter().filter(|address| *address != self.vm.peers);
        self.lock().seeds = seeds.collect();
    }

    /// Takes a VM that is registered but wasn't heard yet.
    pub fn note_listed(&self, vm: VmRecord) {
        if vm.name == self.vm.name {
            return;
        }
        let mut inner = self.lock();
        let known = inner.members.get(&vm.name);
        if known.is_none_or(|member| member.vm.incarnation < vm.incarnation) {
            inner.members.insert(vm.name.clone(), Member::new(vm));
        }
    }

    /// Notes that all registered VMs are known.
    pub fn note_all_listed(&self) {
        self.lock().listed = true;
    }

    /// Whether the registered VMs were read since the start: until then this VM does not know with
    /// how many it shares a bound.
    pub fn is_listed(&self) -> bool {
        self.lock().listed
    }

    /// Forgets a VM that is registered no more, unless it is alive.
    pub fn note_unlisted(&self, name: &VmName) {
        let now = Instant::now();
        self.lock().members.retain(|known, member| known != name || member.is_live(now));
    }

    /// Takes a greeting or a reply.
    pub fn note_hello(&self, hello: VmHello) {
        if hello.vm.name == self.vm.name {
            return;
        }
        let mut inner = self.lock();
        let name = hello.vm.name.clone();
        let known = inner.members.get(&name);
        if known.is_some_and(|member| member.vm.incarnation > hello.vm.incarnation) {
            return;
        }
        let now = Instant::now();
        let lost = if hello.store_lost { Some(now) } else { known.and_then(|member| member.lost) };
        let vouched = None;
        for member in inner.members.values_mut() {
            let told = member.vm.region == hello.vm.region && !hello.live.is_empty();
            if told {
                member.vouched = hello.live.contains(&member.vm.name).then_some(now);
            }
        }
        let heard = Some(now);
        let member = Member { heard, leaving: hello.leaving, lost, vouched, vm: hello.vm };
        inner.members.insert(name, member);
    }

    /// Whether this VM reads the store itself: it is a delegate of its region, or the region is
    /// small.
    pub fn reads_store(&self) -> bool {
        self.delegates().iter().any(|vm| vm.name == self.vm.name)
    }

    /// Whether delegates read the store for the other VMs of this region.
    pub fn has_delegates(&self) -> bool {
        let now = Instant::now();
        let inner = self.lock();
        // This VM is one of them, and not among the members.
        inner.live(now).filter(|vm| vm.region == self.vm.region).count() >= Self::SMALL_REGION
    }

    /// The VMs of this region that read the store for the others; all of them where it is small.
    pub fn delegates(&self) -> Vec<VmRecord> {
        let now = Instant::now();
        let inner = self.lock();
        let own = (!inner.leaving).then_some(&self.vm);
        let near = inner.live(now).filter(|vm| vm.region == self.vm.region).chain(own);
        let near: Vec<&VmRecord> = near.collect();
        if near.len() <= Self::SMALL_REGION {
            return near.into_iter().cloned().collect();
        }
        choose_delegates(near.into_iter()).into_iter().cloned().collect()
    }

    /// Notes that this VM does not reach the store.
    pub fn note_store_lost(&self) {
        self.lock().store_lost.get_or_insert_with(Instant::now);
    }

    /// Notes that this VM reaches the store again, and tells whether the store itself was away:
    /// most of the VMs that were heard meanwhile had lost it too.
    pub fn note_store_back(&self) -> bool {
        let mut inner = self.lock();
        let Some(since) = inner.store_lost.take() else { return false };
        let meanwhile = |at: Option<Instant>| at.is_some_and(|at| at >= since);
        let lost = inner.members.values().filter(|m| meanwhile(m.lost)).count();
        let heard = inner.members.values().filter(|m| meanwhile(m.heard)).count();
        2 * lost > heard
    }

    /// Notes that a VM refuses connections.
    pub fn note_refused(&self, peer: SocketAddr) {
        for member in self.lock().members.values_mut().filter(|m| m.vm.peers == peer) {
            member.heard = None;
            member.vouched = None;
        }
    }

    /// Addresses of the VMs to greet: all of a small fleet; else those of the own region, the
    /// delegates of the others, and seeds that aren't known yet.
    pub fn to_greet(&self) -> BTreeSet<SocketAddr> {
        let now = Instant::now();
        let inner = self.lock();
        let all = || inner.members.values().map(|member| &member.vm);
        if inner.members.len() < Self::SMALL_FLEET {
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

    /// Names of all VMs that are registered or were heard, this one included: bounds that the
    /// fleet shares hold also while some of them can't be heard.
    pub fn known(&self) -> BTreeSet<VmName> {
        let inner = self.lock();
        inner.members.keys().chain([&self.vm.name]).cloned().collect()
    }

    /// Addresses that a caller in a zone should use: the live VMs nearest to it, in its zone, its
    /// region, or anywhere; where it may use some regions only, its own region counts as well.
    pub fn callers_for(
        &self,
        zone: &str,
        region: &str,
        homes: &BTreeSet<RegionName>,
    ) -> Vec<SocketAddr> {
        let now = Instant::now();
        let inner = self.lock();
        let own = (!inner.leaving).then_some(&self.vm);
        let live: Vec<&VmRecord> = inner.live(now).chain(own).collect();
        let near = |fits: &dyn Fn(&AvailabilityZoneName, &RegionName) -> bool| {
            let fit = live.iter().filter(|vm| fits(&vm.zone, &vm.region));
            let mut found: Vec<SocketAddr> = fit.map(|vm| vm.callers).collect();
            found.truncate(Self::MOST_ADDRESSES);
            found
        };
        let in_zone = near(&|z, _| z.as_str() == zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = near(&|_, r| r.as_str() == region);
        if !in_region.is_empty() {
            return in_region;
        }
        let in_homes = near(&|_, r| homes.contains(r));
        if !in_homes.is_empty() {
            return in_homes;
        }
        near(&|_, _| true)
    }
}
