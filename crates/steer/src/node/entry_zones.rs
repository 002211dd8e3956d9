//! Decisions of an entry VM that involve other availability zones and regions.

use crate::{
    AvailabilityZoneName, Call, EntryNode, EntryVm, GrantedSlots, LeaseGrant, LeaseHolder,
    LeaseItem, LeaseRequest, Permit, PlatformVm, PoolKey, PoolOwner, PoolRoom, RegionName, Service,
    ShareKey, ShareTotal, ShiftController, ShiftSettings, ShiftStatus, VmName, VmRole, ZoneView,
    nearest_served_zone, order_zones, plan_zones,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Service time assumed for a request until one has been measured.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_millis(50);

impl EntryNode {
    /// This process as a lease holder.
    pub fn lease_holder(&self) -> LeaseHolder {
        LeaseHolder { incarnation: self.vm().incarnation, vm: self.vm().name.clone() }
    }

    /// Sets the voters for the region's coordinator from the platform's list of VMs.
    pub fn set_voters(&self, vms: &[PlatformVm]) {
        let snapshot = self.snapshot();
        let own = Some(&self.vm().region);
        let ours = vms.iter().filter(|vm| vm.kind == VmRole::Entry);
        let ours = ours.filter(|vm| snapshot.region_of(&vm.zone) == own);
        *self.zones().voters() =
            ours.map(|vm| (VmName::from(&*vm.name), vm.address)).collect::<BTreeMap<_, _>>();
    }

    /// The entry VMs of this region: those that the platform lists and live peers. Empty before
    /// the first list arrives, so that no VM elects itself alone.
    pub fn region_voters(&self) -> BTreeMap<VmName, SocketAddr> {
        let mut voters = self.zones().voters().clone();
        if voters.is_empty() {
            return voters;
        }
        voters.insert(self.vm().name.clone(), self.vm().addresses.peers);
        self.with_members(|members| {
            for peer in members.live(Instant::now()).filter(|p| p.vm.region == self.vm().region) {
                voters.insert(peer.vm.name.clone(), peer.vm.addresses.peers);
            }
        });
        voters
    }

    /// The zone whose entry VMs serve a zone's targets: its own, or the one that adopted them.
    pub fn serving_zone(&self, zone: &AvailabilityZoneName) -> AvailabilityZoneName {
        self.zones().adopted_zones().get(zone).unwrap_or(zone).clone()
    }

    /// The zones whose targets this VM's zone serves.
    pub fn served_zones(&self) -> Vec<AvailabilityZoneName> {
        let own = &self.vm().zone;
        let adopted = self.zones().adopted_zones();
        let theirs = adopted.iter().filter(|(_, by)| *by == own).map(|(zone, _)| zone.clone());
        std::iter::once(own.clone()).chain(theirs).collect()
    }

    /// Updates which zones without entry VMs are adopted by which zone; returns whether that
    /// changed.
    pub fn refresh_adoptions(&self) -> bool {
        let now = Instant::now();
        let mut served: BTreeSet<AvailabilityZoneName> =
            self.with_members(|m| m.serving(now).map(|p| p.vm.zone.clone()).collect());
        if self.state().accepts_work() {
            served.insert(self.vm().zone.clone());
        }
        let snapshot = self.snapshot();
        let mut orphans = self.zones().adoption_state();
        let found: BTreeMap<_, _> = snapshot
            .zones()
            .filter(|(zone, _)| orphans.is_orphan(zone, &served, now))
            .filter_map(|(zone, _)| {
                Some((zone.clone(), nearest_served_zone(&snapshot, zone, &served)?))
            })
            .collect();
        let mut adopted = self.zones().adopted_zones();
        let changed = *adopted != found;
        *adopted = found;
        changed
    }

    /// A live peer by name.
    pub fn peer(&self, name: &VmName) -> Option<EntryVm> {
        self.with_members(|members| {
            members.live(Instant::now()).find(|p| p.vm.name == *name).map(|p| p.vm.clone())
        })
    }

    /// Answers a peer's lease request.
    pub fn answer_lease(&self, request: LeaseRequest) -> LeaseGrant {
        let now = Instant::now();
        match request.item {
            LeaseItem::Room(key) => self.grant_slots(&key, request.holder, request.amount, now),
            LeaseItem::Share(key) => self.grant_share(&key, &request.holder, request.amount, now),
            LeaseItem::Vote => self.zones().shares().vote(request.holder, now),
        }
    }

    fn grant_slots(
        &self,
        key: &PoolKey,
        holder: LeaseHolder,
        amount: u64,
        now: Instant,
    ) -> LeaseGrant {
        let owned = self.pool_owner(key) == PoolOwner::ThisVm;
        if !self.zones().granted_slots().update_ownership(key, owned, now) {
            return LeaseGrant::default();
        }
        if amount == 0 {
            let returned = self.zones().granted_slots().reclaim(key, &holder);
            drop(returned);
            return LeaseGrant::default();
        }
        let pool = self.pool(key);
        let grantable = u64::from(GrantedSlots::grantable(pool.room())).min(amount);
        let permits: Vec<Permit> = (0..grantable).map_while(|_| pool.try_admit_remote()).collect();
        self.zones().granted_slots().grant(key, holder, permits, now)
    }

    fn grant_share(
        &self,
        key: &ShareKey,
        holder: &LeaseHolder,
        amount: u64,
        now: Instant,
    ) -> LeaseGrant {
        let voters: BTreeSet<VmName> = self.region_voters().into_keys().collect();
        let total = ShareTotal::read(&self.snapshot(), key, voters.len() as u64);
        let mut shares = self.zones().shares();
        shares.grant(key, holder, amount, total.leasable, &voters, now)
    }

    /// Returns a granted slot for a request that a peer handed off under a lease.
    pub fn use_leased_slot(&self, key: &PoolKey, lease: u64, peer: &VmName) -> Option<Permit> {
        let owned = self.pool_owner(key) == PoolOwner::ThisVm;
        let now = Instant::now();
        let mut granted = self.zones().granted_slots();
        // A VM that no longer owns the pool drops the leases that it granted on it.
        granted.update_ownership(key, owned, now);
        granted.use_slot(key, lease, peer, now)
    }

    /// The keys of the rate limits that the entry VMs of this region share.
    pub fn share_keys(&self) -> Vec<ShareKey> {
        let snapshot = self.snapshot();
        let own = &self.vm().region;
        let links = snapshot.fleet().map(|f| f.links.as_slice()).unwrap_or_default();
        let others = links.iter().filter(|l| l.between.contains(own));
        let others = others.flat_map(|l| l.between.iter().filter(|r| *r != own));
        let links = others.map(|to| ShareKey::Link { from: own.clone(), to: to.clone() });
        let shifts = snapshot.shifts().iter().filter(|s| s.from == *own).map(ShiftController::key);
        links.chain(shifts).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// The key of the link to a region; `None` if the settings define none or the region is this
    /// VM's own.
    pub fn link_to(&self, region: &RegionName) -> Option<ShareKey> {
        let own = &self.vm().region;
        let snapshot = self.snapshot();
        let mut links = snapshot.fleet()?.links.iter();
        let known = own != region && links.any(|link| link.connects(own, region));
        known.then(|| ShareKey::Link { from: own.clone(), to: region.clone() })
    }

    /// The key of the shift whose cap applies to a request to a region.
    pub fn shift_to(&self, call: &Call, region: &RegionName) -> Option<ShareKey> {
        let own = &self.vm().region;
        let now = self.ports().clock.now();
        let matches = |s: &&ShiftSettings| {
            s.from == *own && s.to == *region && s.service == call.service.name && s.start <= now
        };
        self.snapshot().shifts().iter().find(matches).map(ShiftController::key)
    }

    /// The zone in whose queue a request of this VM may wait: its own, or, if that has no target
    /// of the service that accepts work, the nearest in its region.
    pub fn home_zone(&self, service: &Service) -> Option<AvailabilityZoneName> {
        let snapshot = self.snapshot();
        let own = &self.vm().region;
        let zones = order_zones(&snapshot, service, &self.vm().zone, self.ports().clock.now());
        let mut ours = zones.into_iter().filter(|zone| snapshot.region_of(zone) == Some(own));
        ours.find(|zone| {
            let key = PoolKey { service: service.name.clone(), zone: zone.clone() };
            self.room_of(&key).is_none_or(|room| room.slots > 0)
        })
    }

    /// The zones in which a request is tried, in order; those of the preferred region come first.
    pub fn plan_route(&self, call: &Call, preferred: &RegionName) -> Vec<AvailabilityZoneName> {
        let snapshot = self.snapshot();
        let name = &call.service.name;
        let now = self.ports().clock.now();
        let zones = order_zones(&snapshot, &call.service, &self.vm().zone, now);
        let views = zones.into_iter().map(|zone| ZoneView {
            delay: self.delay_to(&zone),
            room: self.room_of(&PoolKey { service: name.clone(), zone: zone.clone() }),
            preferred: snapshot.region_of(&zone) == Some(preferred),
            zone,
        });
        let home = self.home_zone(&call.service);
        let (own, others): (Vec<_>, Vec<_>) =
            views.partition(|view| Some(&view.zone) == home.as_ref());
        let time =
            self.zones().shifts().home_time(name, Instant::now()).unwrap_or(DEFAULT_REQUEST_TIME);
        plan_zones(own.first(), others, time, &mut rand::rng())
    }

    /// The region that the next request goes to, by a shift or by the service's shares.
    pub fn preferred_region(&self, call: &Call) -> RegionName {
        let own = &self.vm().region;
        let name = &call.service.name;
        if let Some(region) = self.zones().shifts().choose_region(name) {
            return region;
        }
        let shares = call.service.settings.shares.get(own);
        let chosen = shares.and_then(|shares| self.zones().split().choose(name, shares));
        chosen.unwrap_or_else(|| own.clone())
    }

    /// One-way delay to a zone.
    pub(crate) fn delay_to(&self, zone: &AvailabilityZoneName) -> Duration {
        let delay = self.snapshot().delay_ms(&self.vm().zone, zone);
        delay.map_or(Duration::from_secs(1), |ms| Duration::from_secs_f64(ms.max(0.0) / 1000.0))
    }

    /// The room of a pool: exact if this VM owns it, else as its owner last reported. If the owner
    /// has just refused a lease, only the slots already leased count as free.
    fn room_of(&self, key: &PoolKey) -> Option<PoolRoom> {
        let now = Instant::now();
        let known = match self.pool_owner(key) {
            PoolOwner::ThisVm => return Some(self.pool(key).room()),
            PoolOwner::Unknown => return None,
            PoolOwner::Peer(owner) => self.with_members(|members| {
                let owner = members.live(now).find(|p| p.vm.name == owner.name)?;
                owner.room.get(key).copied()
            }),
        };
        let leases = self.zones().slot_leases();
        let available = leases.available(key, now) as u32;
        let refused = leases.was_refused(key, now);
        known.map(|known| PoolRoom {
            free: if refused { available } else { known.free.max(available) },
            ..known
        })
    }

    /// Advances the ramps of this region's shifts; returns the shifts whose phase changed.
    pub fn advance_shifts(&self) -> Vec<ShiftStatus> {
        let snapshot = self.snapshot();
        let (now, clock) = (Instant::now(), self.ports().clock.now());
        let ours = snapshot.shifts().iter().filter(|s| s.from == self.vm().region);
        let ours: Vec<&ShiftSettings> = ours.collect();
        let keys: Vec<ShareKey> = ours.iter().map(|s| ShiftController::key(s)).collect();
        self.zones().shifts().retain(&keys);
        let mut changed = Vec::new();
        for shift in ours {
            let (ready, delay) = (self.ready_fraction(shift), self.delay_to_region(&shift.to));
            let started = shift.start <= clock;
            let phase = self.zones().shifts().step(shift, started, ready, delay, now);
            if phase.is_some() {
                changed.push(self.shift_status(shift));
            }
        }
        changed
    }

    /// Returns the fraction of the receiving region's configured slots that are in service.
    fn ready_fraction(&self, shift: &ShiftSettings) -> f64 {
        let snapshot = self.snapshot();
        let now = self.ports().clock.now();
        let Some(service) = snapshot.service(&shift.service) else { return 0.0 };
        let mut zones: BTreeMap<&AvailabilityZoneName, u32> = BTreeMap::new();
        for (name, target) in &service.settings.targets {
            let there = snapshot.region_of(&target.zone) == Some(&shift.to);
            if there && !snapshot.is_drained(name, &target.zone, now) {
                *zones.entry(&target.zone).or_default() += target.slots;
            }
        }
        let all: u32 = zones.values().sum();
        let in_service = |zone: &AvailabilityZoneName| {
            let key = PoolKey { service: shift.service.clone(), zone: zone.clone() };
            self.room_of(&key).map_or(0, |room| room.slots)
        };
        let ready: u32 = zones.keys().map(|zone| in_service(zone)).sum();
        if all == 0 { 0.0 } else { f64::from(ready) / f64::from(all) }
    }

    fn delay_to_region(&self, region: &RegionName) -> Duration {
        let snapshot = self.snapshot();
        let zone = snapshot.region(region).and_then(|r| r.zones.first());
        zone.map(|zone| self.delay_to(zone)).unwrap_or_default()
    }

    /// The status on this VM of each shift away from its region.
    pub fn shift_statuses(&self) -> Vec<ShiftStatus> {
        let snapshot = self.snapshot();
        let ours = snapshot.shifts().iter().filter(|s| s.from == self.vm().region);
        ours.map(|shift| self.shift_status(shift)).collect()
    }

    fn shift_status(&self, shift: &ShiftSettings) -> ShiftStatus {
        let key = ShiftController::key(shift);
        let (moving, phase) = self.zones().shifts().progress(&key);
        let share = self.zones().shares().status(&key, Instant::now());
        ShiftStatus {
            cap: share.limit,
            from: shift.from.clone(),
            moving,
            phase,
            service: shift.service.clone(),
            share: shift.share,
            to: shift.to.clone(),
            used: share.used,
        }
    }
}
