//! Which entry VMs speak for an availability zone or a region.

use super::EntryVm;
use crate::{AvailabilityZoneName, RegionName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Delegates of an availability zone or a region.
pub const DELEGATES: usize = 2;
/// Shortest time between two heartbeats to a peer.
const SHORTEST_PERIOD: Duration = Duration::from_millis(500);
/// What each VM of the zone adds to the time between two heartbeats inside it.
const PERIOD_PER_VM: Duration = Duration::from_millis(50);
/// Most heartbeats a second that a VM takes part in; one has about 200 bytes.
const MOST_BEATS: f64 = 21.0;
/// Heartbeats a second that are left for other zones, however large the own one is.
const LEAST_OUTSIDE: f64 = 1.5;
/// What each region adds to the time between two heartbeats from region to region.
const PERIOD_PER_REGION: Duration = Duration::from_millis(80);

/// Chooses the VMs that speak for a scope by rendezvous hashing: all that see the same VMs
/// choose the same.
///
/// ```
/// let vms = ["a", "b", "c"].map(steer::VmName::from);
/// let chosen = steer::choose_delegates("lis-a", &vms);
/// assert_eq!(chosen.len(), steer::DELEGATES);
/// assert_eq!(chosen, steer::choose_delegates("lis-a", vms.iter().rev()));
/// ```
pub fn choose_delegates<'a>(
    scope: &str,
    vms: impl IntoIterator<Item = &'a crate::VmName>,
) -> Vec<&'a crate::VmName> {
    let mut vms: Vec<_> = vms.into_iter().collect();
    vms.sort_by_cached_key(|vm| (xxh3_64(format!("delegate/{scope}/{vm}").as_bytes()), *vm));
    vms.truncate(DELEGATES);
    vms
}

/// A VM that can be talked to, and whether it is known to serve.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The VM takes work, as far as is known.
    pub serving: bool,
    /// Who it is.
    pub vm: &'a EntryVm,
}

/// Whom this VM talks to and how often, and which roles it has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TalkPlan {
    /// This VM speaks for its availability zone.
    pub delegate: bool,
    /// Time between heartbeats by address.
    pub periods: BTreeMap<SocketAddr, Duration>,
}

impl TalkPlan {
    /// Plans the talks of a VM: with all VMs of its zone; where it speaks for the zone, with
    /// those that speak for the region's other zones; where it speaks for the region, with its
    /// counterparts in the other regions. A scope of which no VM serves is tried at the VMs last
    /// known there.
    ///
    /// ```
    /// let addresses = "10.0.0.1:1".parse().unwrap();
    /// let vm = steer::EntryVm {
    ///     addresses: steer::VmAddresses {
    ///         callers: addresses, handoff: addresses, operators: addresses, peers: addresses,
    ///     },
    ///     fleet: "demo".into(), incarnation: 1, name: "entry-1".into(),
    ///     region: "lisboa".into(), zone: "lis-a".into(),
    /// };
    /// let plan = steer::TalkPlan::new(&vm, &[]);
    /// assert!(plan.delegate && plan.periods.is_empty());
    /// ```
    pub fn new(own: &EntryVm, others: &[Candidate<'_>]) -> Self {
        let scopes = Scopes::new(own, others);
        let mut plan = Self::default();
        let mates: Vec<_> = others.iter().filter(|c| c.vm.zone == own.zone).collect();
        let period = mate_period(mates.len() + 1);
        plan.periods.extend(mates.iter().map(|c| (c.vm.addresses.peers, period)));
        plan.delegate = scopes.zone(&own.zone).iter().any(|vm| vm.name == own.name);
        if plan.delegate {
            for zone in scopes.zones.keys().filter(|zone| **zone != &own.zone) {
                let delegates = scopes.zone(zone);
                let near = delegates.iter().filter(|vm| vm.region == own.region);
                plan.periods.extend(near.map(|vm| (vm.addresses.peers, SHORTEST_PERIOD)));
            }
        }
        plan.add_regions(own, &scopes);
        plan.periods.remove(&own.addresses.peers);
        plan.keep_budget(&mates.iter().map(|c| c.vm.addresses.peers).collect());
        plan
    }

    /// Slows the talks with other zones down to what the zone's own leave of the budget.
    fn keep_budget(&mut self, mates: &BTreeSet<SocketAddr>) {
        let beats = |inside: bool| {
            let talks = self.periods.iter().filter(|(peer, _)| mates.contains(peer) == inside);
            talks.map(|(_, period)| 1.0 / period.as_secs_f64()).sum::<f64>()
        };
        let (inside, outside) = (beats(true), beats(false));
        let factor = outside / (MOST_BEATS - inside).max(LEAST_OUTSIDE);
        if factor <= 1.0 {
            return;
        }
        for (_, period) in self.periods.iter_mut().filter(|(peer, _)| !mates.contains(peer)) {
            *period = period.mul_f64(factor);
        }
    }

    fn add_regions(&mut self, own: &EntryVm, scopes: &Scopes<'_>) {
        let regions: BTreeSet<&RegionName> =
            scopes.zones.values().flatten().map(|c| &c.vm.region).collect();
        let period = far_period(regions.len());
        let home = scopes.region(&own.region);
        for (seat, _) in home.iter().enumerate().filter(|(_, vm)| vm.name == own.name) {
            for region in regions.iter().filter(|region| **region != &own.region) {
                let there = scopes.region(region);
                let alone = home.len() == 1;
                let seats =
                    there.iter().enumerate().filter(|(i, _)| alone || *i == seat % there.len());
                self.periods.extend(seats.map(|(_, vm)| (vm.addresses.peers, period)));
            }
        }
    }
}

/// Time between heartbeats inside a zone of some VMs.
fn mate_period(vms: usize) -> Duration {
    SHORTEST_PERIOD.max(PERIOD_PER_VM * u32::try_from(vms).unwrap_or(u32::MAX))
}

/// Time between heartbeats from region to region, in a fleet of some regions.
pub(super) fn far_period(regions: usize) -> Duration {
    SHORTEST_PERIOD.max(PERIOD_PER_REGION * u32::try_from(regions).unwrap_or(u32::MAX))
}

/// The VMs by zone; only the serving ones where there are any.
struct Scopes<'a> {
    zones: BTreeMap<&'a AvailabilityZoneName, Vec<Candidate<'a>>>,
}

impl<'a> Scopes<'a> {
    fn new(own: &'a EntryVm, others: &[Candidate<'a>]) -> Self {
        let mut zones: BTreeMap<_, Vec<Candidate<'a>>> = BTreeMap::new();
        for candidate in others.iter().copied().chain([Candidate { serving: true, vm: own }]) {
            zones.entry(&candidate.vm.zone).or_default().push(candidate);
        }
        for vms in zones.values_mut() {
            if vms.iter().any(|c| c.serving) {
                vms.retain(|c| c.serving);
            }
        }
        Self { zones }
    }

    /// The delegates of a zone.
    fn zone(&self, zone: &AvailabilityZoneName) -> Vec<&'a EntryVm> {
        let vms = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
        let chosen = choose_delegates(zone.as_str(), vms.iter().map(|c| &c.vm.name));
        chosen.iter().filter_map(|n| vms.iter().find(|c| c.vm.name == **n)).map(|c| c.vm).collect()
    }

    /// The delegates of a region, chosen among those of its zones; serving ones go first.
    fn region(&self, region: &RegionName) -> Vec<&'a EntryVm> {
        let zones = self.zones.iter().filter(|(_, vms)| vms[0].vm.region == *region);
        let (open, shut): (Vec<_>, Vec<_>) = zones.partition(|(_, vms)| vms[0].serving);
        let zones = if open.is_empty() { shut } else { open };
        let vms: Vec<_> = zones.iter().flat_map(|(zone, _)| self.zone(zone)).collect();
        let chosen = choose_delegates(region.as_str(), vms.iter().map(|vm| &vm.name));
        chosen.iter().filter_map(|n| vms.iter().find(|vm| vm.name == **n)).copied().collect()
    }
}
