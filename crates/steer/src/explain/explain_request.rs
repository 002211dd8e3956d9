//! Explains how a request would be routed, using the same decisions as the router.

use super::{
    ClassReason, ExplainError, Explanation, HomeReason, ShiftReason, ZoneReason, ZoneVerdict,
};
use crate::{
    AvailabilityZoneName, ClassName, ClientBlock, DrainSettings, EntryNode, LookupVm, PoolKey,
    PoolOwner, PoolRoom, Service, ServiceName, ShiftStatus, Snapshot, VmName, order_zones,
    suggest_name,
};
use jiff::Timestamp;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// A query for an explanation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExplainQuery {
    /// Client address block that the request comes from.
    pub block: ClientBlock,
    /// Class of the request; `None` for all classes.
    pub class: Option<ClassName>,
    /// Requested service.
    pub service: ServiceName,
}

/// The state of a pool as known to the responding VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownPool {
    /// Age of the information.
    pub age: Duration,
    /// Entry VM that owns the pool.
    pub owner: VmName,
    /// Free, queued and total slots.
    pub room: PoolRoom,
}

/// Explains how a request that arrives at the first of `vms` would be routed.
///
/// # Errors
///
/// If no settings are in force, or the service or class is unknown.
pub fn explain_request(
    snapshot: &Snapshot,
    query: &ExplainQuery,
    vms: Vec<LookupVm>,
    local_zone: &AvailabilityZoneName,
    pools: &BTreeMap<PoolKey, KnownPool>,
    now: Timestamp,
) -> Result<Explanation, ExplainError> {
    snapshot.fleet().ok_or(ExplainError::NoSettings)?;
    let service = snapshot.service(&query.service).ok_or_else(|| ExplainError::UnknownService {
        known: suggest_name(query.service.as_str(), snapshot.services().map(|s| s.name.as_str())),
        name: query.service.clone(),
    })?;
    let home = find_home(snapshot, &query.block, local_zone)?;
    let arrival = vms.first().map_or(local_zone, |vm| &vm.zone).clone();
    let region = snapshot.region_of(&arrival).ok_or(ExplainError::NoSettings)?.clone();
    let shares = service.settings.shares.get(&region).into_iter().flatten();
    let shifts = snapshot
        .shifts()
        .iter()
        .filter(|s| s.service == service.name && s.from == region)
        .map(|s| ShiftReason { live: None, now: s.share_at(now), shift: s.clone() });
    Ok(Explanation {
        block: query.block,
        classes: find_classes(service, query.class.as_ref())?,
        service: service.name.clone(),
        shares: shares.map(|(region, share)| (region.clone(), *share)).collect(),
        shifts: shifts.collect(),
        team: service.team.clone(),
        vms,
        zones: find_zones(snapshot, service, &arrival, pools, now),
        arrival,
        home,
        region,
    })
}

fn find_home(
    snapshot: &Snapshot,
    block: &ClientBlock,
    local_zone: &AvailabilityZoneName,
) -> Result<HomeReason, ExplainError> {
    let address = block.network().addr();
    let blocks = snapshot.fleet().map(|fleet| &fleet.blocks);
    let longest = blocks
        .into_iter()
        .flatten()
        .filter(|(prefix, _)| prefix.contains(address))
        .max_by_key(|(prefix, _)| prefix.network().prefix_len());
    if let Some((prefix, region)) = longest {
        return Ok(HomeReason { prefix: Some(*prefix), region: region.clone() });
    }
    let region = snapshot.region_of(local_zone).ok_or(ExplainError::NoSettings)?.clone();
    Ok(HomeReason { prefix: None, region })
}

fn find_classes(
    service: &Service,
    asked: Option<&ClassName>,
) -> Result<Vec<ClassReason>, ExplainError> {
    let classes = &service.settings.classes;
    if let Some(name) = asked.filter(|name| !classes.contains_key(*name)) {
        let known = suggest_name(name.as_str(), classes.keys().map(ClassName::as_str));
        return Err(ExplainError::UnknownClass { known, name: name.clone() });
    }
    let is_selected = |name: &ClassName| asked.is_none_or(|asked| asked == name);
    let reasons =
        classes.iter().filter(|(name, _)| is_selected(name)).map(|(name, class)| ClassReason {
            deadline_ms: class.deadline_ms,
            name: name.clone(),
            repeat: class.repeat,
            slot_share: class.slot_share,
            urgency: class.urgency,
        });
    Ok(reasons.collect())
}

fn find_zones(
    snapshot: &Snapshot,
    service: &Service,
    arrival: &AvailabilityZoneName,
    pools: &BTreeMap<PoolKey, KnownPool>,
    now: Timestamp,
) -> Vec<ZoneReason> {
    let candidates = order_zones(snapshot, service, arrival, now);
    let all: BTreeSet<&AvailabilityZoneName> =
        service.settings.targets.values().map(|t| &t.zone).collect();
    let drained = all.into_iter().filter(|zone| !candidates.contains(zone));
    let mut chosen = false;
    let mut reasons = Vec::new();
    for zone in candidates.iter().chain(drained) {
        let key = PoolKey { service: service.name.clone(), zone: zone.clone() };
        let mut reason = describe_zone(snapshot, service, zone, pools.get(&key).cloned(), now);
        reason.delay_ms = snapshot.delay_ms(arrival, zone);
        if reason.verdict == ZoneVerdict::NextChoice && !chosen {
            reason.verdict = ZoneVerdict::Chosen;
            chosen = true;
        }
        reasons.push(reason);
    }
    reasons
}

fn describe_zone(
    snapshot: &Snapshot,
    service: &Service,
    zone: &AvailabilityZoneName,
    pool: Option<KnownPool>,
    now: Timestamp,
) -> ZoneReason {
    let targets = || service.settings.targets.iter().filter(|(_, t)| t.zone == *zone);
    let serving = targets().filter(|(name, _)| !snapshot.is_drained(name, zone, now)).count();
    let region = snapshot.region_of(zone);
    let drains = snapshot.drains(now).filter(|drain| match drain {
        DrainSettings::EntryVm(_) => false,
        DrainSettings::Region(name) => region == Some(name),
        DrainSettings::Target(name) => targets().any(|(target, _)| target == name),
        DrainSettings::Zone(name) => name == zone,
    });
    let verdict = match &pool {
        _ if serving == 0 => ZoneVerdict::Drained,
        None => ZoneVerdict::NoOwner,
        Some(pool) if pool.room.free == 0 => ZoneVerdict::NoRoom,
        Some(_) => ZoneVerdict::NextChoice,
    };
    ZoneReason {
        delay_ms: None,
        drains: drains.cloned().collect(),
        pool,
        region: region.cloned(),
        serving,
        targets: targets().count(),
        verdict,
        zone: zone.clone(),
    }
}

impl EntryNode {
    /// Returns the serving entry VM that owns a pool.
    fn owner_name(&self, key: &PoolKey) -> Option<VmName> {
        match self.pool_owner(key) {
            PoolOwner::ThisVm => Some(self.vm().name.clone()),
            PoolOwner::Unknown => None,
            PoolOwner::Peer(peer) => Some(peer.name),
        }
    }

    /// Returns the pools that this VM and its serving peers own, with the age of the information.
    pub fn known_pools(&self) -> BTreeMap<PoolKey, KnownPool> {
        let now = Instant::now();
        let own = self.heartbeat();
        let mut heartbeats = vec![(own.vm.name, own.state, own.room, Duration::ZERO)];
        for peer in self.peers() {
            heartbeats.push((peer.vm.name, peer.state, peer.room, now - peer.last_alive));
        }
        let mut pools = BTreeMap::new();
        for (vm, state, room, age) in heartbeats {
            // A heartbeat may still list pools that have moved to another owner.
            for (key, room) in room.into_iter().filter(|_| state.accepts_work()) {
                if self.owner_name(&key).as_ref() == Some(&vm) {
                    pools.insert(key, KnownPool { age, owner: vm.clone(), room });
                }
            }
        }
        pools
    }

    /// Explains how a request would be routed now.
    ///
    /// # Errors
    ///
    /// If no settings are in force, or the service or class is unknown.
    pub fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ExplainError> {
        let vms = self.look_up(&query.block).vms;
        let (pools, now) = (self.known_pools(), self.ports().clock.now());
        let local_zone = &self.vm().zone;
        let mut explanation =
            explain_request(&self.snapshot(), query, vms, local_zone, &pools, now)?;
        let live = self.shift_statuses();
        for reason in &mut explanation.shifts {
            let set = &reason.shift;
            let is_same =
                |s: &&ShiftStatus| s.service == set.service && s.from == set.from && s.to == set.to;
            reason.live = live.iter().find(is_same).cloned();
        }
        Ok(explanation)
    }
}
