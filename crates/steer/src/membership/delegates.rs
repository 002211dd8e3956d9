//! Selects the delegates of availability zones and regions, and plans heartbeats.

use super::EntryVm;
use crate::{AvailabilityZoneName, RegionName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Number of delegates of an availability zone or a region.
pub const DELEGATES_PER_SCOPE: usize = 2;
/// Minimum time between two heartbeats to a peer.
const MIN_PERIOD: Duration = Duration::from_millis(500);
/// Heartbeat period inside a zone, per VM of the zone.
const PERIOD_PER_VM: Duration = Duration::from_millis(50);
/// Budget of heartbeats per second that a VM takes part in; each has about 200 bytes.
const MAX_HEARTBEATS_PER_S: f64 = 21.0;
/// Heartbeats per second reserved for other zones, however large this VM's zone is.
const MIN_OUTSIDE_PER_S: f64 = 1.5;
/// Heartbeat period between regions, per region of the fleet.
const PERIOD_PER_REGION: Duration = Duration::from_millis(80);

/// Chooses the delegates of a scope by rendezvous hashing: VMs with the same view of the
/// membership choose the same delegates.
///
/// ```
/// let vms = ["a", "b", "c"].map(steer::VmName::from);
/// let chosen = steer::choose_delegates("lis-a", &vms);
/// assert_eq!(chosen.len(), steer::DELEGATES_PER_SCOPE);
/// assert_eq!(chosen, steer::choose_delegates("lis-a", vms.iter().rev()));
/// ```
pub fn choose_delegates<'a>(
    scope: &str,
    vms: impl IntoIterator<Item = &'a crate::VmName>,
) -> Vec<&'a crate::VmName> {
    let mut vms: Vec<_> = vms.into_iter().collect();
    vms.sort_by_cached_key(|vm| (xxh3_64(format!("delegate/{scope}/{vm}").as_bytes()), *vm));
    vms.truncate(DELEGATES_PER_SCOPE);
    vms
}

/// An entry VM that may become a delegate, and whether it is known to serve.
#[derive(Clone, Copy, Debug)]
pub struct DelegateCandidate<'a> {
    /// The VM is known to accept work.
    pub serving: bool,
    /// The VM.
    pub vm: &'a EntryVm,
}

/// The peers that this VM sends heartbeats to, how often, and whether it is a delegate.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatPlan {
    /// This VM is a delegate of its availability zone.
    pub delegate: bool,
    /// Heartbeat period by peer address.
    pub periods: BTreeMap<SocketAddr, Duration>,
}

impl HeartbeatPlan {
    /// Plans the heartbeats of a VM: to all VMs of its zone; from a zone delegate, also to the
    /// delegates of the region's other zones; from a region delegate, also to its counterparts
    /// in the other regions. In a zone without serving VMs, the delegates are chosen among all
    /// VMs known there.
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
    /// let plan = steer::HeartbeatPlan::new(&vm, &[]);
    /// assert!(plan.delegate && plan.periods.is_empty());
    /// ```
    pub fn new(own: &EntryVm, others: &[DelegateCandidate<'_>]) -> Self {
        let scopes = Scopes::new(own, others);
        let mut plan = Self::default();
        let zone_peers: Vec<_> = others.iter().filter(|c| c.vm.zone == own.zone).collect();
        let period = zone_period(zone_peers.len() + 1);
        plan.periods.extend(zone_peers.iter().map(|c| (c.vm.addresses.peers, period)));
        plan.delegate = scopes.zone_delegates(&own.zone).iter().any(|vm| vm.name == own.name);
        if plan.delegate {
            for zone in scopes.zones.keys().filter(|zone| **zone != &own.zone) {
                let delegates = scopes.zone_delegates(zone);
                let in_region = delegates.iter().filter(|vm| vm.region == own.region);
                plan.periods.extend(in_region.map(|vm| (vm.addresses.peers, MIN_PERIOD)));
            }
        }
        plan.add_region_peers(own, &scopes);
        plan.periods.remove(&own.addresses.peers);
        plan.limit_rate(&zone_peers.iter().map(|c| c.vm.addresses.peers).collect());
        plan
    }

    /// Lengthens the periods towards other zones to fit the part of `MAX_HEARTBEATS_PER_S` that
    /// the VM's own zone leaves, but at least `MIN_OUTSIDE_PER_S`.
    fn limit_rate(&mut self, zone_peers: &BTreeSet<SocketAddr>) {
        let rate = |inside: bool| {
            let periods =
                self.periods.iter().filter(|(peer, _)| zone_peers.contains(peer) == inside);
            periods.map(|(_, period)| 1.0 / period.as_secs_f64()).sum::<f64>()
        };
        let (inside, outside) = (rate(true), rate(false));
        let factor = outside / (MAX_HEARTBEATS_PER_S - inside).max(MIN_OUTSIDE_PER_S);
        if factor <= 1.0 {
            return;
        }
        for (_, period) in self.periods.iter_mut().filter(|(peer, _)| !zone_peers.contains(peer)) {
            *period = period.mul_f64(factor);
        }
    }

    /// Adds the counterparts of a region delegate in the other regions.
    fn add_region_peers(&mut self, own: &EntryVm, scopes: &Scopes<'_>) {
        let regions: BTreeSet<&RegionName> =
            scopes.zones.values().flatten().map(|c| &c.vm.region).collect();
        let period = region_period(regions.len());
        let own_delegates = scopes.region_delegates(&own.region);
        for (index, _) in own_delegates.iter().enumerate().filter(|(_, vm)| vm.name == own.name) {
            for region in regions.iter().filter(|region| **region != &own.region) {
                let remote_delegates = scopes.region_delegates(region);
                let single = own_delegates.len() == 1;
                let counterparts = remote_delegates
                    .iter()
                    .enumerate()
                    .filter(|(i, _)| single || *i == index % remote_delegates.len());
                self.periods.extend(counterparts.map(|(_, vm)| (vm.addresses.peers, period)));
            }
        }
    }
}

/// Heartbeat period inside a zone with this many VMs.
fn zone_period(vms: usize) -> Duration {
    MIN_PERIOD.max(PERIOD_PER_VM * u32::try_from(vms).unwrap_or(u32::MAX))
}

/// Heartbeat period between regions in a fleet with this many regions.
pub(super) fn region_period(regions: usize) -> Duration {
    MIN_PERIOD.max(PERIOD_PER_REGION * u32::try_from(regions).unwrap_or(u32::MAX))
}

/// The VMs by zone: the serving ones, or all of them in a zone where none serves.
struct Scopes<'a> {
    zones: BTreeMap<&'a AvailabilityZoneName, Vec<DelegateCandidate<'a>>>,
}

impl<'a> Scopes<'a> {
    fn new(own: &'a EntryVm, others: &[DelegateCandidate<'a>]) -> Self {
        let mut zones: BTreeMap<_, Vec<DelegateCandidate<'a>>> = BTreeMap::new();
        for candidate in
            others.iter().copied().chain([DelegateCandidate { serving: true, vm: own }])
        {
            zones.entry(&candidate.vm.zone).or_default().push(candidate);
        }
        for vms in zones.values_mut() {
            if vms.iter().any(|c| c.serving) {
                vms.retain(|c| c.serving);
            }
        }
        Self { zones }
    }

    fn zone_delegates(&self, zone: &AvailabilityZoneName) -> Vec<&'a EntryVm> {
        let vms = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
        let chosen = choose_delegates(zone.as_str(), vms.iter().map(|c| &c.vm.name));
        chosen.iter().filter_map(|n| vms.iter().find(|c| c.vm.name == **n)).map(|c| c.vm).collect()
    }

    /// The delegates of a region, chosen among its zones' delegates; zones without serving VMs
    /// count only if no zone of the region has any.
    fn region_delegates(&self, region: &RegionName) -> Vec<&'a EntryVm> {
        let zones = self.zones.iter().filter(|(_, vms)| vms[0].vm.region == *region);
        let (serving, other): (Vec<_>, Vec<_>) = zones.partition(|(_, vms)| vms[0].serving);
        let zones = if serving.is_empty() { other } else { serving };
        let vms: Vec<_> = zones.iter().flat_map(|(zone, _)| self.zone_delegates(zone)).collect();
        let chosen = choose_delegates(region.as_str(), vms.iter().map(|vm| &vm.name));
        chosen.iter().filter_map(|n| vms.iter().find(|vm| vm.name == **n)).copied().collect()
    }
}
