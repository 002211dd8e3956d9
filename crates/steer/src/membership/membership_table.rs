//! The membership table: what this entry VM knows about its peers.

use super::{
    DelegateCandidate, EntryVm, HeartbeatPlan, PeerRecord, Rejection, VmState,
    delegates::region_period,
    rejection::{check_room, check_vm},
    update_route::may_forward,
};
use crate::{
    AvailabilityZoneName, Cursor, Exchange, Heartbeat, PoolKey, PoolRoom, RoomUpdate, VmName,
    VmUpdate,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// This VM's own state as last announced, with the numbers of the last changes.
#[derive(Debug, Default)]
struct OwnState {
    changed: u64,
    room: BTreeMap<PoolKey, PoolRoom>,
    room_changed: u64,
    state: Option<VmState>,
    refutation: u64,
}

/// Result of a sweep.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SweepResult {
    /// Peers that were silent for too long; their reports about other VMs are discarded.
    pub lost: Vec<VmName>,
    /// This VM itself was paused; the silence of peers in that time is not counted.
    pub paused: bool,
}

/// The known peers by name, each at its highest incarnation.
#[derive(Debug, Default)]
pub struct MembershipTable {
    changes: u64,
    own: OwnState,
    peers: BTreeMap<VmName, PeerRecord>,
    periods: BTreeMap<SocketAddr, Duration>,
    refutation: u64,
    last_sweep: Option<Instant>,
    urgent: bool,
}

impl MembershipTable {
    /// Time beyond the heartbeat period after which a silent peer is suspected.
    pub const SUSPECT_AFTER: Duration = Duration::from_millis(200);
    /// Time in which a suspected peer can refute the suspicion before it is considered gone.
    pub const REFUTE_WITHIN: Duration = Duration::from_millis(400);
    /// Assumed heartbeat period of a peer that this VM's plan doesn't contain, but whose own plan
    /// contains this VM.
    const UNPLANNED_PERIOD: Duration = Duration::from_millis(500);
    /// Time after which the record of a peer that is gone is removed.
    pub const FORGET_AFTER: Duration = Duration::from_secs(3600);
    /// Maximum number of VMs in one message.
    pub const MAX_UPDATES: usize = 200;
    /// Gap between two sweeps from which this VM concludes that it was paused.
    pub const PAUSE: Duration = Duration::from_secs(1);

    /// Applies a heartbeat, in which a peer describes itself in full.
    ///
    /// # Errors
    ///
    /// The reason for a rejection; then nothing is applied.
    pub fn apply_heartbeat(
        &mut self,
        own: &EntryVm,
        beat: Heartbeat,
        now: Instant,
    ) -> Result<(), Rejection> {
        check_vm(&beat.vm, &own.fleet)?;
        beat.room.values().try_for_each(check_room)?;
        if beat.vm.name == own.name {
            return Err(Rejection::OwnName);
        }
        let Heartbeat { digest, refutation, room, state, vm } = beat;
        let name = vm.name.clone();
        self.check_incarnation(&name, vm.incarnation)?;
        self.upsert(&VmUpdate { alive: true, refutation, state, vm }, now);
        let changes = self.next_change();
        if let Some(record) = self.peers.get_mut(&name) {
            record.record_contact(now, changes);
            record.digest = digest;
            record.set_room(room, changes, now, Duration::ZERO);
        }
        Ok(())
    }

    /// Applies the changes that a known peer reports.
    ///
    /// # Errors
    ///
    /// The reason for a rejection; then nothing is applied.
    pub fn apply_exchange(
        &mut self,
        own: &EntryVm,
        exchange: &Exchange,
        now: Instant,
    ) -> Result<(), Rejection> {
        let sender = self.peers.get(&exchange.from).ok_or(Rejection::UnknownSender)?;
        let held = sender.vm.incarnation;
        if held > exchange.incarnation {
            return Err(Rejection::OlderIncarnation { held });
        }
        if held < exchange.incarnation {
            return Err(Rejection::UnknownSender);
        }
        exchange.members.iter().try_for_each(|update| check_vm(&update.vm, &own.fleet))?;
        let rooms = exchange.rooms.iter().flat_map(|update| update.room.values());
        rooms.into_iter().try_for_each(check_room)?;
        if exchange.from == own.name {
            return Err(Rejection::OwnName);
        }
        let sender = sender.vm.clone();
        self.record_contact(&sender.name, exchange.digest, now);
        for update in exchange.members.iter().filter(|update| update.vm.name != own.name) {
            self.apply_member(own, update, &sender, now);
        }
        for update in &exchange.rooms {
            self.apply_room(own, update, now);
        }
        for (name, incarnation, refutation) in &exchange.suspects {
            self.apply_suspicion(own, &sender, (name, *incarnation, *refutation));
        }
        Ok(())
    }

    fn record_contact(&mut self, name: &VmName, digest: u64, now: Instant) {
        let changes = self.next_change();
        if let Some(record) = self.peers.get_mut(name) {
            record.record_contact(now, changes);
            record.digest = digest;
        }
    }

    fn apply_member(&mut self, own: &EntryVm, update: &VmUpdate, sender: &EntryVm, now: Instant) {
        if self.check_incarnation(&update.vm.name, update.vm.incarnation).is_err() {
            return;
        }
        let changes = self.next_change();
        if !update.alive {
            self.urgent |= self.peers.get(&update.vm.name).is_some_and(|p| p.alive);
            let same_zone = sender.zone == update.vm.zone && own.zone != update.vm.zone;
            if let Some(record) = self.peers.get_mut(&update.vm.name) {
                record.remove_reporter(&sender.name, update, same_zone, changes);
            }
            return;
        }
        let refuted = self.upsert(update, now);
        let accept_report = own.zone != update.vm.zone || refuted;
        if let Some(record) = self.peers.get_mut(&update.vm.name)
            && accept_report
            && update.vm.name != sender.name
        {
            record.add_reporter(&sender.name, changes);
        }
    }

    fn apply_room(&mut self, own: &EntryVm, update: &RoomUpdate, now: Instant) {
        let regions = self.region_count();
        let changes = self.next_change();
        let Some(record) = self.peers.get_mut(&update.name) else { return };
        if record.vm.incarnation != update.incarnation {
            return;
        }
        let remote = record.vm.region != own.region;
        let interval = if remote {
            region_period(regions) * PeerRecord::REMOTE_ROOM_PERIODS
        } else {
            Duration::ZERO
        };
        record.set_room(update.room.clone(), changes, now, interval);
    }

    /// Refutes a suspicion of this VM. Records a suspicion of a peer, so that the suspicion is
    /// forwarded to the peer, and the peer's refutation back to the sender.
    fn apply_suspicion(&mut self, own: &EntryVm, sender: &EntryVm, suspect: (&VmName, u64, u64)) {
        let (name, incarnation, refutation) = suspect;
        if *name == own.name {
            if incarnation == own.incarnation && refutation >= self.refutation {
                self.refutation = refutation + 1;
                self.next_change();
            }
            return;
        }
        if let Some(record) = self.peers.get_mut(name) {
            record.record_suspicion(&sender.name, incarnation, refutation);
        }
    }

    fn check_incarnation(&self, name: &VmName, offered: u64) -> Result<(), Rejection> {
        match self.peers.get(name).map(|record| record.vm.incarnation) {
            Some(held) if held > offered => Err(Rejection::OlderIncarnation { held }),
            _ => Ok(()),
        }
    }

    /// Inserts or updates the record of a VM; returns whether the update refutes a suspicion.
    fn upsert(&mut self, update: &VmUpdate, now: Instant) -> bool {
        let changes = self.next_change();
        self.stop_replaced(&update.vm, changes);
        match self.peers.get_mut(&update.vm.name) {
            Some(held) if held.vm.incarnation == update.vm.incarnation => {
                held.update(update, changes)
            }
            _ => {
                let record = PeerRecord::new(update, changes, now);
                self.peers.insert(update.vm.name.clone(), record);
                false
            }
        }
    }

    /// Marks older VMs at the address of a VM as stopped, because the VM has replaced them.
    fn stop_replaced(&mut self, vm: &EntryVm, changes: u64) {
        for record in self.peers.values_mut() {
            let is_replaced = record.vm.name != vm.name
                && record.vm.addresses.peers == vm.addresses.peers
                && record.vm.incarnation < vm.incarnation;
            if is_replaced && record.state != VmState::Stopped {
                record.state = VmState::Stopped;
                record.changed = changes;
            }
        }
    }

    fn region_count(&self) -> usize {
        let regions: BTreeSet<_> = self.peers.values().map(|p| &p.vm.region).collect();
        regions.len()
    }

    /// Updates which peers are suspected and which are lost.
    pub fn sweep(&mut self, now: Instant) -> SweepResult {
        let gap = self.last_sweep.map_or(Duration::ZERO, |then| now.duration_since(then));
        self.last_sweep = Some(now);
        let paused = gap > Self::PAUSE;
        if paused {
            self.peers.values_mut().for_each(|record| record.discount_pause(gap));
        }
        let mut lost = Vec::new();
        for record in self.peers.values_mut() {
            let planned = self.periods.get(&record.vm.addresses.peers).copied();
            let period = planned.unwrap_or(Self::UNPLANNED_PERIOD);
            let before = (record.has_contact(), record.suspected);
            self.changes += 1;
            record.check_silence(period + Self::SUSPECT_AFTER, self.changes, now);
            if before.0 && !record.has_contact() {
                lost.push(record.vm.name.clone());
            }
            self.urgent |= before != (record.has_contact(), record.suspected);
        }
        let direct: BTreeSet<VmName> =
            self.peers.values().filter(|p| p.has_contact()).map(|p| p.vm.name.clone()).collect();
        for record in self.peers.values_mut() {
            let before = record.alive;
            self.changes += 1;
            record.retain_reporters(&direct, self.changes, now);
            self.urgent |= before != record.alive;
        }
        self.peers.retain(|_, p| p.alive || now.duration_since(p.last_alive) < Self::FORGET_AFTER);
        SweepResult { lost, paused }
    }

    /// Whether a VM joined, left or changed its state and this was not announced yet.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Whether a VM joined, left or changed its state since the last call.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Updates this VM's own state and numbers each change.
    pub fn update_own(&mut self, state: VmState, room: &BTreeMap<PoolKey, PoolRoom>) {
        if self.own.state != Some(state) || self.own.refutation != self.refutation {
            self.own.changed = self.next_change();
            self.own.state = Some(state);
            self.own.refutation = self.refutation;
        }
        if self.own.room != *room {
            self.own.room_changed = self.next_change();
            self.own.room.clone_from(room);
        }
    }

    /// Number of suspicions that this VM has refuted.
    pub fn refutation(&self) -> u64 {
        self.refutation
    }

    /// The number of the last change.
    pub fn cursor(&self) -> Cursor {
        Cursor(self.changes)
    }

    /// Allocates the number of a change, including one that is stored elsewhere.
    pub fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// The changes after a cursor that are forwarded to a peer, and the cursor that they
    /// reach.
    pub fn changes_for(
        &self,
        own: &EntryVm,
        to: &EntryVm,
        after: Cursor,
    ) -> (Vec<VmUpdate>, Vec<RoomUpdate>, Cursor) {
        let mut changed: Vec<_> = self.peers.values().filter(|r| r.changed > after.0).collect();
        changed.sort_by_key(|r| r.changed);
        let mut members: Vec<VmUpdate> = Vec::new();
        let mut reached = self.cursor();
        for record in changed {
            if members.len() == Self::MAX_UPDATES {
                reached = Cursor(record.changed - 1);
                break;
            }
            members.extend(self.update_for(own, record, to));
        }
        if self.own.changed > after.0
            && let Some(state) = self.own.state
        {
            let (refutation, vm) = (self.refutation, own.clone());
            members.push(VmUpdate { alive: true, refutation, state, vm });
        }
        let due = |changed: u64| changed > after.0 && changed <= reached.0;
        let rooms = self.peers.values().filter(|r| r.alive && due(r.room_changed));
        let rooms = rooms.filter(|r| r.vm.zone != to.zone && self.is_forwarded(own, r, to));
        let mut rooms: Vec<RoomUpdate> = rooms.map(PeerRecord::to_room_update).collect();
        if due(self.own.room_changed) {
            let (incarnation, name) = (own.incarnation, own.name.clone());
            rooms.push(RoomUpdate { incarnation, name, room: self.own.room.clone() });
        }
        (members, rooms, reached)
    }

    /// Addresses of live VMs of a peer's zone that the peer may not know yet.
    pub fn zone_peers_for(
        &self,
        to: &EntryVm,
        after: Cursor,
        sent: Cursor,
    ) -> BTreeSet<SocketAddr> {
        let due = |r: &&PeerRecord| r.changed > after.0 && r.changed <= sent.0;
        let zone_peers = self.peers.values().filter(|r| r.alive && r.vm.zone == to.zone);
        let new = zone_peers.filter(due).filter(|r| r.vm.name != to.name);
        new.map(|r| r.vm.addresses.peers).collect()
    }

    fn is_forwarded(&self, own: &EntryVm, record: &PeerRecord, to: &EntryVm) -> bool {
        let mut sources = record.sources().filter_map(|name| self.peers.get(name));
        sources.any(|source| may_forward(own, &record.vm, &source.vm, to))
    }

    /// The update about a peer to send to another one: alive if a source whose updates may be
    /// forwarded reports it, gone if such a source reported it before.
    fn update_for(&self, own: &EntryVm, record: &PeerRecord, to: &EntryVm) -> Option<VmUpdate> {
        if record.vm.name == to.name {
            return None;
        }
        if record.has_refuted(&to.name) || self.is_forwarded(own, record, to) {
            let alive = record.has_contact() || record.vm.zone != own.zone;
            return Some(record.to_update(alive));
        }
        let mut past = record.past_sources().filter_map(|name| self.peers.get(name));
        past.any(|source| may_forward(own, &record.vm, &source.vm, to))
            .then(|| record.to_update(false))
    }

    /// The suspicions to send to a peer of this VM's zone: peers of the zone that this VM suspects,
    /// and the receiver itself if others suspect it.
    pub fn suspects_for(&self, own: &EntryVm, to: &EntryVm) -> Vec<(VmName, u64, u64)> {
        if own.zone != to.zone {
            return Vec::new();
        }
        let peers = self.peers.values().filter(|p| p.vm.zone == own.zone);
        let sent =
            peers.filter(|p| p.suspected || (p.vm.name == to.name && p.is_suspected_elsewhere()));
        sent.map(|p| (p.vm.name.clone(), p.vm.incarnation, p.refutation)).collect()
    }

    /// Plans the heartbeats of this VM. The planned periods also set how long a peer may be
    /// silent before it is suspected.
    pub fn plan_heartbeats(&mut self, own: &EntryVm) -> HeartbeatPlan {
        let known = self.peers.values().filter(|p| p.state != VmState::Stopped);
        let candidates: Vec<_> = known
            .map(|p| DelegateCandidate { serving: p.alive && p.state.accepts_work(), vm: &p.vm })
            .collect();
        let plan = HeartbeatPlan::new(own, &candidates);
        self.periods.clone_from(&plan.periods);
        plan
    }

    /// The newest peer at an address for control messages.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&PeerRecord> {
        let at = self.peers.values().filter(|p| p.vm.addresses.peers == address);
        at.max_by_key(|p| p.vm.incarnation)
    }

    /// A peer by name, including one that is gone.
    pub fn find_by_name(&self, name: &VmName) -> Option<&PeerRecord> {
        self.peers.get(name)
    }

    /// Live peers, sorted by name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        let paused = self.last_sweep.is_some_and(|then| now.duration_since(then) > Self::PAUSE);
        let live = move |p: &&PeerRecord| p.alive && (paused || p.is_fresh(now));
        self.peers.values().filter(move |p| p.state != VmState::Stopped && live(p))
    }

    /// Live peers that accept new work.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.live(now).filter(|p| p.state.accepts_work())
    }

    /// Live peers of an availability zone that accept new work.
    pub fn serving_in<'a>(
        &'a self,
        zone: &'a AvailabilityZoneName,
        now: Instant,
    ) -> impl Iterator<Item = &'a PeerRecord> {
        self.serving(now).filter(move |p| p.vm.zone == *zone)
    }
}
