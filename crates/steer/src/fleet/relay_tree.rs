//! Tree along which the VMs relay what they read from the store.

use super::VmRecord;
use crate::{AvailabilityZoneName, ObjectHash, RegionName};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Position of a VM in the tree, from the store down.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RelayRole {
    /// Reads the store.
    Reader,
    /// Reads the store as soon as the reader's updates are late.
    Standby,
    /// Polls the readers, for the availability zones of its region.
    RegionDelegate,
    /// Polls the delegates of its region, for the VMs of its availability zone.
    ZoneDelegate,
    /// Polls the delegates of its availability zone.
    Member,
}

/// The tree as one VM sees it. VMs that know the same live VMs build the same tree.
///
/// In a small fleet every VM reads the store, or two VMs of each region do. In a large one, a single
/// VM reads it, and updates pass from there to delegates of each region, from them to delegates of
/// each availability zone, and to all other VMs, so that neither the calls to the store nor the bytes
/// between zones grow with the number of VMs.
///
/// ```
/// use steer::{RelayRole, RelayTree, VmRecord};
/// let vm = VmRecord {
///     callers: "10.0.0.1:80".parse().unwrap(),
///     capacity: 200,
///     incarnation: 1,
///     name: "entry-1".into(),
///     peers: "10.0.0.1:81".parse().unwrap(),
///     region: "lisboa".into(),
///     zone: "lis-a".into(),
/// };
/// let tree = RelayTree::of_large_fleet(&vm, vec![&vm], |_| true);
/// assert_eq!(tree.role(), RelayRole::Reader);
/// assert!(tree.upstreams().is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct RelayTree {
    /// Delegates of each region, best first.
    regions: BTreeMap<RegionName, Vec<VmRecord>>,
    role: RelayRole,
    upstreams: Vec<SocketAddr>,
    /// Delegates of each availability zone, best first.
    zones: BTreeMap<AvailabilityZoneName, Vec<VmRecord>>,
}

impl RelayTree {
    /// Maximum size of a region of a small fleet in which every VM reads the store itself.
    pub const MAX_DIRECT_VMS: usize = 4;
    /// Minimum number of delegates: one, and a spare in case it fails.
    pub const MIN_DELEGATES: usize = 2;
    /// Capacity of a delegate, in thousandths of a core, for each VM that it serves: a few messages
    /// a second, and a share of the time in which all of them start at once.
    pub const CAPACITY_PER_VM: u32 = 25;

    /// Builds the tree of a VM that doesn't know the other VMs yet but for some that it has heard: it
    /// polls these, the ones of its region first.
    pub fn of_unknown_fleet(own: &VmRecord, heard: Vec<&VmRecord>) -> Self {
        let (near, far): (Vec<&VmRecord>, Vec<&VmRecord>) =
            heard.into_iter().partition(|vm| vm.region == own.region);
        let upstreams = [spread(own, &near), spread(own, &far)].concat();
        let (regions, zones) = (BTreeMap::new(), BTreeMap::new());
        Self { regions, role: RelayRole::Member, upstreams: addresses(&upstreams), zones }
    }

    /// Builds the tree of a small fleet: in each region the VMs that read the store, all of them if
    /// they are few. Otherwise those that reach it read it, one more for each VM that doesn't, as the
    /// store may turn away more VMs than have noticed so far. If none of a region reaches it, VMs of
    /// other regions that do are polled.
    pub fn of_small_fleet(
        own: &VmRecord,
        live: Vec<&VmRecord>,
        reaches_store: impl Fn(&VmRecord) -> bool,
    ) -> Self {
        let (near, far): (Vec<&VmRecord>, Vec<&VmRecord>) =
            live.into_iter().partition(|vm| vm.region == own.region);
        let (able_near, able_far) = (filter(&near, &reaches_store), filter(&far, &reaches_store));
        let lost = near.len() - able_near.len();
        let readers = match () {
            () if near.len() <= Self::MAX_DIRECT_VMS => near,
            () if !able_near.is_empty() => choose(able_near, |_| Self::MIN_DELEGATES + lost),
            () if !able_far.is_empty() => choose(able_far, |_| Self::MIN_DELEGATES),
            () => choose(near, |_| Self::MIN_DELEGATES),
        };
        let is_reader = readers.iter().any(|vm| vm.name == own.name);
        let role = if is_reader { RelayRole::Reader } else { RelayRole::Member };
        let upstreams = if is_reader { Vec::new() } else { addresses(&spread(own, &readers)) };
        let regions = BTreeMap::from([(own.region.clone(), cloned(&readers))]);
        Self { regions, role, upstreams, zones: BTreeMap::new() }
    }

    /// Builds the tree of a large fleet from its live VMs; only those that reach the store read it. If
    /// no region's delegates do, the delegates of the own region's zones take their place.
    pub fn of_large_fleet(
        own: &VmRecord,
        live: Vec<&VmRecord>,
        reaches_store: impl Fn(&VmRecord) -> bool,
    ) -> Self {
        let zones = group(live, |vm| vm.zone.clone());
        let delegates: Vec<&VmRecord> = zones.values().flatten().copied().collect();
        let regions = group(delegates, |vm| vm.region.clone());
        let near = zones.iter().filter(|(_, vms)| vms.iter().any(|vm| vm.region == own.region));
        let near: Vec<&VmRecord> = near.flat_map(|(_, vms)| vms).copied().collect();
        let readers = choose_readers(regions.values().flatten().copied(), near, reaches_store);
        let none = Vec::new();
        let in_zone = zones.get(&own.zone).unwrap_or(&none);
        let in_region = regions.get(&own.region).unwrap_or(&none);
        let is_among = |vms: &[&VmRecord]| vms.iter().any(|vm| vm.name == own.name);
        let role = match () {
            () if is_among(&readers[..readers.len().min(1)]) => RelayRole::Reader,
            () if is_among(&readers) => RelayRole::Standby,
            () if is_among(in_region) => RelayRole::RegionDelegate,
            () if is_among(in_zone) => RelayRole::ZoneDelegate,
            () => RelayRole::Member,
        };
        // Levels above this VM, nearest first; the farther ones replace a level that fails.
        let levels = match role {
            RelayRole::Reader => Vec::new(),
            RelayRole::Standby => vec![readers[..1].to_vec()],
            RelayRole::RegionDelegate => vec![readers],
            RelayRole::ZoneDelegate => vec![spread(own, in_region), readers],
            RelayRole::Member => vec![spread(own, in_zone), spread(own, in_region), readers],
        };
        let mut seen = BTreeSet::from([own.peers]);
        let upstreams = levels.iter().flat_map(|level| addresses(level));
        let upstreams = upstreams.filter(|address| seen.insert(*address)).collect();
        let to_records = |vms: &Vec<&VmRecord>| cloned(vms);
        Self {
            regions: regions.iter().map(|(name, vms)| (name.clone(), to_records(vms))).collect(),
            role,
            upstreams,
            zones: zones.iter().map(|(name, vms)| (name.clone(), to_records(vms))).collect(),
        }
    }

    /// Returns the position of this VM.
    pub fn role(&self) -> RelayRole {
        self.role
    }

    /// Returns the addresses of the VMs that this VM may poll, preferred ones first.
    pub fn upstreams(&self) -> &[SocketAddr] {
        &self.upstreams
    }

    /// Returns the delegates of a region.
    pub fn region_delegates(&self, region: &RegionName) -> &[VmRecord] {
        self.regions.get(region).map_or(&[], Vec::as_slice)
    }

    /// Returns the delegates of an availability zone of a large fleet.
    pub fn zone_delegates(&self, zone: &AvailabilityZoneName) -> &[VmRecord] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }
}

/// Groups VMs by a key and returns the delegates of each group, enough to serve its other VMs.
fn group<K: Ord>(vms: Vec<&VmRecord>, key: impl Fn(&VmRecord) -> K) -> BTreeMap<K, Vec<&VmRecord>> {
    let mut groups: BTreeMap<K, Vec<&VmRecord>> = BTreeMap::new();
    for vm in vms {
        groups.entry(key(vm)).or_default().push(vm);
    }
    let groups = groups.into_iter().map(|(key, vms)| {
        let served = u32::try_from(vms.len()).unwrap_or(u32::MAX);
        let needed = served.saturating_mul(RelayTree::CAPACITY_PER_VM);
        (key, choose(vms, |ranked| delegate_count(ranked, needed)))
    });
    groups.collect()
}

/// Returns how many of the ranked VMs have the needed capacity together.
fn delegate_count(ranked: &[&VmRecord], needed: u32) -> usize {
    let mut sum: u32 = 0;
    let weaker = ranked.iter().take_while(|vm| {
        let before = sum;
        sum = sum.saturating_add(vm.capacity);
        before < needed
    });
    weaker.count().max(RelayTree::MIN_DELEGATES)
}

/// Returns the first VMs by capacity; `count` tells how many. Ties are broken by a hash of the names,
/// so that all VMs choose the same ones.
fn choose(mut vms: Vec<&VmRecord>, count: impl FnOnce(&[&VmRecord]) -> usize) -> Vec<&VmRecord> {
    let hash = ObjectHash::new("delegate", b"");
    vms.sort_by_cached_key(|vm| {
        let rank = (hash.rank(vm.name.as_str()) * f64::from(u32::MAX)) as u32;
        (Reverse(vm.capacity), rank)
    });
    vms.truncate(count(&vms));
    vms
}

/// Returns the reader and its standby, the latter from another region if there is one, so that the
/// loss of a region leaves one of them. `others` are the candidates if no delegate reaches the store.
fn choose_readers<'a>(
    delegates: impl Iterator<Item = &'a VmRecord>,
    others: Vec<&'a VmRecord>,
    reaches_store: impl Fn(&VmRecord) -> bool,
) -> Vec<&'a VmRecord> {
    let ranked = choose(delegates.collect(), |all| all.len());
    let mut able = filter(&ranked, &reaches_store);
    if able.is_empty() {
        able = filter(&choose(others, |all| all.len()), &reaches_store);
    }
    let ranked = if able.is_empty() { ranked } else { able };
    let Some((reader, others)) = ranked.split_first() else { return Vec::new() };
    let standby = others.iter().find(|vm| vm.region != reader.region).or(others.first());
    [*reader].into_iter().chain(standby.copied()).collect()
}

fn filter<'a>(vms: &[&'a VmRecord], fits: impl Fn(&VmRecord) -> bool) -> Vec<&'a VmRecord> {
    vms.iter().copied().filter(|vm| fits(vm)).collect()
}

/// Orders VMs by a hash, so that the VMs which poll them spread over them.
fn spread<'a>(own: &VmRecord, vms: &[&'a VmRecord]) -> Vec<&'a VmRecord> {
    let hash = ObjectHash::new("relay", own.name.as_str().as_bytes());
    let mut vms = vms.to_vec();
    vms.sort_by(|a, b| hash.rank(a.name.as_str()).total_cmp(&hash.rank(b.name.as_str())));
    vms
}

fn addresses(vms: &[&VmRecord]) -> Vec<SocketAddr> {
    vms.iter().map(|vm| vm.peers).collect()
}

fn cloned(vms: &[&VmRecord]) -> Vec<VmRecord> {
    vms.iter().map(|vm| (*vm).clone()).collect()
}
