//! Which entry VMs are alive.

use super::{VmHello, VmRecord};
use crate::{AvailabilityZoneName, RegionName, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Clone, Debug)]
struct Member {
    heard: Option<Instant>,
    leaving: bool,
    /// When the VM last said that it does not reach the store.
    lost: Option<Instant>,
    vm: VmRecord,
}

impl Member {
    fn is_live(&self, now: Instant) -> bool {
        let heard = self.heard.is_some_and(|at| now.duration_since(at) < FleetView::SILENCE);
        heard && !self.leaving
    }
}

#[derive(Debug, Default)]
struct Inner {
    leaving: bool,
    members: BTreeMap<VmName, Member>,
    seeds: BTreeSet<SocketAddr>,
    /// Since when this VM does not reach the store.
    store_lost: Option<Instant>,
}

/// The entry VMs that this one knows, and when it last heard each.
///
/// ```
/// use steer::{FleetView, VmRecord};
/// let vm = VmRecord {
///     callers: "10.0.0.1:80".parse().unwrap(),
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
    /// Silence after which a VM is taken for lost: three greetings and their time limit.
    pub const SILENCE: Duration = Duration::from_millis(2_500);

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

    /// What this VM tells others.
    pub fn hello(&self) -> VmHello {
        let inner = self.lock();
        let store_lost = inner.store_lost.is_some();
        VmHello { leaving: inner.leaving, store_lost, vm: self.vm.clone() }
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
            let member = Member { heard: None, leaving: false, lost: None, vm };
            inner.members.insert(member.vm.name.clone(), member);
        }
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
        let member = Member { heard: Some(now), leaving: hello.leaving, lost, vm: hello.vm };
        inner.members.insert(name, member);
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
        }
    }

    /// Addresses of the VMs to greet.
    pub fn to_greet(&self) -> BTreeSet<SocketAddr> {
        let inner = self.lock();
        let known = inner.members.values().map(|member| member.vm.peers);
        known.chain(inner.seeds.iter().copied()).collect()
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
        let others = inner.members.values().filter(|m| m.is_live(now)).map(|m| &m.vm);
        let own = (!inner.leaving).then_some(&self.vm);
        let live: Vec<&VmRecord> = others.chain(own).collect();
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
