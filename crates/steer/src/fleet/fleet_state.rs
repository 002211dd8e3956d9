//! Everything that a VM knows of the other VMs of the fleet.

use super::{RelayTree, VmHello, VmRecord, ZoneReport, ZoneReports};
use crate::{AvailabilityZoneName, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// State of another VM as known to this one.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// When the VM was registered, or first sent a hello, also after it had been silent.
    pub(super) known_at: Instant,
    pub(super) leaving: bool,
    /// When the VM last reported that no changes in the store reach it.
    pub(super) outdated_at: Option<Instant>,
    /// Whether the VM reads reports of availability zones.
    pub(super) reads_reports: bool,
    /// When the VM last refused a connection.
    pub(super) refused_at: Option<Instant>,
    /// When the VM last sent a hello or a reply.
    pub(super) seen_at: Option<Instant>,
    /// Digests of the reports whose names the VM has got from this one.
    pub(super) sent: BTreeMap<AvailabilityZoneName, u64>,
    /// Whether the VM's own calls to the store fail, by its last hello.
    pub(super) store_lost: bool,
    pub(super) vm: VmRecord,
    /// Availability zones in whose reports from the VM names were missing.
    pub(super) wanted: BTreeSet<AvailabilityZoneName>,
}

impl Peer {
    pub(super) fn new(vm: VmRecord, now: Instant) -> Self {
        Self {
            known_at: now,
            leaving: false,
            outdated_at: None,
            reads_reports: true,
            refused_at: None,
            seen_at: None,
            sent: BTreeMap::new(),
            store_lost: false,
            vm,
            wanted: BTreeSet::new(),
        }
    }

    /// Returns the state of a VM after a hello; a VM that was restarted begins anew.
    pub(super) fn after_hello(known: Option<Self>, hello: VmHello, now: Instant) -> Self {
        let outdated_at = known.as_ref().and_then(|known| known.outdated_at);
        let same = known.filter(|known| known.vm == hello.vm);
        let mut peer = same.unwrap_or_else(|| Self { outdated_at, ..Self::new(hello.vm, now) });
        peer.leaving = hello.leaving;
        peer.reads_reports = hello.reports.is_some();
        if peer.seen_at.is_some() && !peer.was_seen(now) {
            peer.known_at = now;
        }
        peer.seen_at = Some(now);
        peer.sent.retain(|zone, _| !hello.wanted.contains(zone));
        peer.store_lost = hello.store_lost;
        if hello.outdated {
            peer.outdated_at = Some(now);
        }
        peer
    }

    /// Returns whether the VM sent a hello or a reply within the timeout.
    pub(super) fn was_seen(&self, now: Instant) -> bool {
        let seen =
            self.seen_at.is_some_and(|at| now.duration_since(at) < FleetState::HELLO_TIMEOUT);
        !self.leaving && seen
    }
}

/// The tree as it was built at a time.
#[derive(Clone, Debug)]
struct BuiltTree {
    built_at: Instant,
    tree: Arc<RelayTree>,
}

/// Everything that the lock of a `FleetView` protects.
#[derive(Debug)]
pub(super) struct FleetState {
    pub(super) leaving: bool,
    /// Since when no changes in the store reach this VM; `None` while they do.
    pub(super) outdated: Option<Instant>,
    pub(super) peers: BTreeMap<VmName, Peer>,
    /// Whether all registered VMs have been read since the start.
    pub(super) registry_read: bool,
    pub(super) reports: ZoneReports,
    pub(super) seeds: BTreeSet<SocketAddr>,
    /// Whether this VM's own calls to the store fail.
    pub(super) store_lost: bool,
    tree: Option<BuiltTree>,
    /// Changes when the tree may have changed.
    pub(super) tree_changes: watch::Sender<()>,
    pub(super) vm: VmRecord,
}

impl FleetState {
    /// Time without a hello after which a VM counts as failed: three intervals and a reply timeout.
    pub(super) const HELLO_TIMEOUT: Duration = Duration::from_millis(2_500);
    /// Maximum size of a fleet in which every VM exchanges hellos with all others.
    pub(super) const MAX_MESH_VMS: usize = 16;
    /// Time for which a tree is used; most changes replace it at once, but a VM that falls silent
    /// causes none.
    const TREE_LIFETIME: Duration = Duration::from_millis(200);

    pub(super) fn new(vm: VmRecord) -> Self {
        Self {
            leaving: false,
            outdated: None,
            peers: BTreeMap::new(),
            registry_read: false,
            reports: ZoneReports::default(),
            seeds: BTreeSet::new(),
            store_lost: false,
            tree: None,
            tree_changes: watch::Sender::new(()),
            vm,
        }
    }

    /// Returns a hello that tells the state of this VM and nothing of others.
    pub(super) fn hello(&self) -> VmHello {
        VmHello {
            leaving: self.leaving,
            outdated: self.outdated.is_some(),
            store_lost: self.store_lost,
            ..VmHello::new(self.vm.clone())
        }
    }

    /// Returns whether the fleet has too many VMs for each to exchange hellos with all others.
    pub(super) fn is_large(&self) -> bool {
        self.peers.len() >= Self::MAX_MESH_VMS
    }

    pub(super) fn is_live(&self, peer: &Peer, now: Instant) -> bool {
        let vm = &peer.vm;
        peer.was_seen(now)
            || !peer.leaving && self.reports.contains(&vm.zone, &vm.name, now, peer.refused_at)
    }

    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = &VmRecord> {
        self.peers.values().filter(move |peer| self.is_live(peer, now)).map(|peer| &peer.vm)
    }

    /// Returns the live VMs, and those that have been known for too short a time to have been heard.
    fn candidates(&self, now: Instant) -> Vec<&VmRecord> {
        let is_new = |peer: &Peer| {
            let silent = peer.seen_at.is_none() && peer.refused_at.is_none() && !peer.leaving;
            silent && now.duration_since(peer.known_at) < Self::HELLO_TIMEOUT
        };
        let peers = self.peers.values().filter(|peer| self.is_live(peer, now) || is_new(peer));
        peers.map(|peer| &peer.vm).chain((!self.leaving).then_some(&self.vm)).collect()
    }

    /// Returns the relay tree.
    pub(super) fn tree(&mut self, now: Instant) -> Arc<RelayTree> {
        let is_current =
            |built: &&BuiltTree| now.duration_since(built.built_at) < Self::TREE_LIFETIME;
        if let Some(built) = self.tree.as_ref().filter(is_current) {
            return Arc::clone(&built.tree);
        }
        let reaches_store = |vm: &VmRecord| match self.peers.get(&vm.name) {
            Some(peer) => !peer.store_lost,
            None => !self.store_lost,
        };
        let tree = if !self.registry_read {
            RelayTree::of_unknown_fleet(&self.vm, self.live(now).collect())
        } else if self.is_large() {
            RelayTree::of_large_fleet(&self.vm, self.candidates(now), reaches_store)
        } else {
            // VMs that have not been heard yet don't read the store for others.
            let own = (!self.leaving).then_some(&self.vm);
            let live = self.live(now).chain(own).collect();
            RelayTree::of_small_fleet(&self.vm, live, reaches_store)
        };
        let tree = Arc::new(tree);
        self.tree = Some(BuiltTree { built_at: now, tree: Arc::clone(&tree) });
        tree
    }

    /// Discards the tree after a change of the VMs that it consists of.
    pub(super) fn discard_tree(&mut self) {
        self.tree = None;
        self.tree_changes.send_replace(());
    }

    /// Returns whether this VM observes all VMs of its availability zone.
    pub(super) fn is_zone_delegate(&mut self, now: Instant) -> bool {
        let tree = self.tree(now);
        tree.zone_delegates(&self.vm.zone).iter().any(|vm| vm.name == self.vm.name)
    }

    /// Returns whether this VM reports on its region to other regions.
    pub(super) fn is_region_delegate(&mut self, now: Instant) -> bool {
        let tree = self.tree(now);
        tree.region_delegates(&self.vm.region).iter().any(|vm| vm.name == self.vm.name)
    }

    /// Returns the live VMs of an availability zone: as observed, if it is this VM's own one.
    fn report(&self, zone: &AvailabilityZoneName, now: Instant) -> Option<ZoneReport> {
        if *zone != self.vm.zone {
            return self.reports.latest(zone, now);
        }
        let seen = self.peers.values().filter(|peer| peer.vm.zone == *zone && peer.was_seen(now));
        let seen = seen.map(|peer| &peer.vm).chain((!self.leaving).then_some(&self.vm));
        Some(ZoneReport::new(zone.clone(), seen.map(|vm| vm.name.clone()).collect()))
    }

    /// Returns the reports for a peer: a zone's delegates report their zone to their region and all
    /// others to their zone, a region's delegates report the region to others, and these to their own.
    pub(super) fn reports_for(&mut self, peer: &VmRecord, now: Instant) -> Vec<ZoneReport> {
        if !self.is_large() || !self.is_zone_delegate(now) {
            return Vec::new();
        }
        let is_region_delegate = self.is_region_delegate(now);
        let (own, mut zones) = (&self.vm, BTreeSet::new());
        for vm in self.peers.values().map(|peer| &peer.vm).chain([own]) {
            let reported = match () {
                () if vm.zone == own.zone || peer.zone == own.zone => true,
                () if peer.region != own.region => is_region_delegate && vm.region == own.region,
                () => is_region_delegate && vm.region != own.region,
            };
            if reported {
                zones.insert(vm.zone.clone());
            }
        }
        let reports = zones.iter().filter_map(|zone| self.report(zone, now)).collect();
        self.omit_sent(&peer.name, reports)
    }

    /// Leaves out the names that a peer has got before.
    fn omit_sent(&mut self, peer: &VmName, mut reports: Vec<ZoneReport>) -> Vec<ZoneReport> {
        let Some(peer) = self.peers.get_mut(peer) else { return reports };
        for report in &mut reports {
            if peer.sent.insert(report.zone.clone(), report.digest) == Some(report.digest) {
                report.live = None;
            }
        }
        reports
    }

    /// Returns the live VMs of this VM's region for a peer that can't read reports.
    pub(super) fn live_for(&mut self, peer: &VmRecord, now: Instant) -> BTreeSet<VmName> {
        let region = self.vm.region.clone();
        let reads_reports = self.peers.get(&peer.name).is_none_or(|peer| peer.reads_reports);
        let is_near = peer.region == region;
        if is_near || reads_reports || !self.is_large() || !self.is_region_delegate(now) {
            return BTreeSet::new();
        }
        let near = self.live(now).filter(|vm| vm.region == region);
        near.map(|vm| vm.name.clone()).collect()
    }

    /// Records the reports of a hello, and returns the zones in which names are missing.
    pub(super) fn record_reports(
        &mut self,
        hello: &VmHello,
        now: Instant,
    ) -> BTreeSet<AvailabilityZoneName> {
        let reports = match &hello.reports {
            Some(reports) => reports.clone(),
            None => self.reports_of_region(hello),
        };
        let mut wanted = BTreeSet::new();
        for report in reports {
            let zone = report.zone.clone();
            if !self.reports.record(&hello.vm.name, report, now) {
                wanted.insert(zone);
            }
        }
        wanted
    }

    /// Converts the names in a hello of a VM that can't read reports.
    fn reports_of_region(&self, hello: &VmHello) -> Vec<ZoneReport> {
        if hello.live.is_empty() {
            return Vec::new();
        }
        let mut zones: BTreeMap<AvailabilityZoneName, BTreeSet<VmName>> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| peer.vm.region == hello.vm.region) {
            let live = zones.entry(peer.vm.zone.clone()).or_default();
            if hello.live.contains(&peer.vm.name) {
                live.insert(peer.vm.name.clone());
            }
        }
        zones.into_iter().map(|(zone, live)| ZoneReport::new(zone, live)).collect()
    }
}
