//! The membership record of one peer.

use super::{EntryVm, MembershipTable, VmState};
use crate::{PoolKey, PoolRoom, RoomUpdate, VmName, VmUpdate};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// The membership record of one incarnation of a peer.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    pub(super) alive: bool,
    pub(super) changed: u64,
    pub(super) room_changed: u64,
    pub(super) suspected: bool,
    /// The number of refutations that each VM knew when it suspected the peer.
    suspicions: BTreeMap<VmName, u64>,
    /// When the last message from the peer itself arrived; `None` before the first one, and again once
    /// the peer is considered gone.
    contact_at: Option<Instant>,
    /// VMs that reported the peer alive before.
    past_sources: BTreeSet<VmName>,
    sent_at: Option<Instant>,
    /// VMs that report the peer alive.
    reporters: BTreeSet<VmName>,
    /// The room that was last forwarded.
    sent_room: BTreeMap<PoolKey, PoolRoom>,
    silence_limit: Duration,
    /// Digest of the peer's settings.
    pub digest: u64,
    /// When it was last known to be alive.
    pub last_alive: Instant,
    /// Number of suspicions that it has refuted.
    pub refutation: u64,
    /// Free room of the pools that it owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
    /// The state that it announced.
    pub state: VmState,
    /// Its identity and addresses.
    pub vm: EntryVm,
}

impl PeerRecord {
    /// Minimum interval, in region heartbeat periods, between updates of another region's room.
    pub(super) const REMOTE_ROOM_PERIODS: u32 = 3;
    /// Silence after which a peer is suspected, until the first sweep sets its limit.
    const INITIAL_SILENCE_LIMIT: Duration = Duration::from_millis(750);
    /// Steps to which the free part of another region's pool is rounded down, so that small
    /// changes aren't sent.
    const ROOM_STEPS: u64 = 8;

    pub(super) fn new(update: &VmUpdate, changes: u64, now: Instant) -> Self {
        Self {
            suspicions: BTreeMap::new(),
            alive: update.alive,
            changed: changes,
            digest: 0,
            contact_at: None,
            past_sources: BTreeSet::new(),
            last_alive: now,
            refutation: update.refutation,
            room: BTreeMap::new(),
            room_changed: 0,
            sent_at: None,
            state: update.state,
            suspected: false,
            reporters: BTreeSet::new(),
            sent_room: BTreeMap::new(),
            vm: update.vm.clone(),
            silence_limit: Self::INITIAL_SILENCE_LIMIT,
        }
    }

    /// Applies an update of the same incarnation; returns whether it refutes a suspicion.
    pub(super) fn update(&mut self, update: &VmUpdate, changes: u64) -> bool {
        let refuted = update.refutation > self.refutation;
        let is_later = update.state.rank() > self.state.rank();
        if refuted {
            self.refutation = update.refutation;
            self.suspected = false;
        }
        if is_later {
            self.state = update.state;
        }
        if refuted || is_later {
            self.changed = changes;
        }
        refuted
    }

    /// Records a message from the peer itself.
    pub(super) fn record_contact(&mut self, now: Instant, changes: u64) {
        if self.contact_at.is_none() {
            self.changed = changes;
        }
        self.alive = true;
        self.contact_at = Some(now);
        self.last_alive = now;
        self.suspected = false;
    }

    /// When the last message from the peer itself arrived, or else when the peer was last known to be
    /// alive.
    pub fn last_contact(&self) -> Instant {
        self.contact_at.unwrap_or(self.last_alive)
    }

    /// Whether messages from the peer itself arrive.
    pub fn has_contact(&self) -> bool {
        self.contact_at.is_some()
    }

    /// Whether another VM reports the peer alive, or a message from the peer itself arrived recently.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        let limit = self.silence_limit + MembershipTable::REFUTE_WITHIN;
        let is_recent = |then| now.saturating_duration_since(then) < limit;
        !self.reporters.is_empty() || self.contact_at.is_some_and(is_recent)
    }

    /// Adds a VM that reports the peer alive.
    pub(super) fn add_reporter(&mut self, reporter: &VmName, changes: u64) {
        if self.reporters.insert(reporter.clone()) {
            self.alive = true;
            self.changed = changes;
        }
    }

    /// Removes a VM that now reports the peer gone from the reporters. A report from the peer's own
    /// zone also overrides earlier messages from the peer itself.
    pub(super) fn remove_reporter(
        &mut self,
        reporter: &VmName,
        update: &VmUpdate,
        same_zone: bool,
        changes: u64,
    ) {
        if update.refutation < self.refutation {
            return;
        }
        if self.reporters.remove(reporter) {
            self.past_sources.insert(reporter.clone());
            self.changed = changes;
        }
        if same_zone && self.contact_at.take().is_some() {
            self.past_sources.insert(self.vm.name.clone());
            self.changed = changes;
        }
    }

    pub(super) fn record_suspicion(&mut self, sender: &VmName, incarnation: u64, refutation: u64) {
        if incarnation == self.vm.incarnation && refutation >= self.refutation {
            self.suspicions.insert(sender.clone(), refutation);
        }
    }

    /// Whether another VM suspects the peer and the peer has not refuted it yet.
    pub(super) fn is_suspected_elsewhere(&self) -> bool {
        self.suspicions.values().any(|refutation| *refutation >= self.refutation)
    }

    /// Whether the peer has refuted a suspicion of the named VM.
    pub(super) fn has_refuted(&self, name: &VmName) -> bool {
        self.suspicions.get(name).is_some_and(|refutation| *refutation < self.refutation)
    }

    /// The VMs that report the peer alive, including the peer itself if its messages arrive.
    pub(super) fn sources(&self) -> impl Iterator<Item = &VmName> {
        self.reporters.iter().chain(self.contact_at.is_some().then_some(&self.vm.name))
    }

    /// The VMs that reported the peer alive before.
    pub(super) fn past_sources(&self) -> impl Iterator<Item = &VmName> {
        self.past_sources.iter()
    }

    /// Excludes a time in which this VM itself was paused from the peer's silence.
    pub(super) fn discount_pause(&mut self, gap: Duration) {
        self.contact_at = self.contact_at.map(|then| then + gap);
    }

    /// Suspects the peer after the silence limit, and records after a further `REFUTE_WITHIN` that
    /// messages from the peer itself no longer arrive.
    pub(super) fn check_silence(&mut self, silence_limit: Duration, changes: u64, now: Instant) {
        self.silence_limit = silence_limit;
        let Some(then) = self.contact_at else { return };
        let silence = now.saturating_duration_since(then);
        self.suspected = silence >= silence_limit;
        if silence >= silence_limit + MembershipTable::REFUTE_WITHIN {
            self.contact_at = None;
            self.past_sources.insert(self.vm.name.clone());
            self.changed = changes;
        }
    }

    /// Removes the reporters whose own messages don't arrive.
    pub(super) fn retain_reporters(
        &mut self,
        direct: &BTreeSet<VmName>,
        changes: u64,
        now: Instant,
    ) {
        let (kept, lost) =
            std::mem::take(&mut self.reporters).into_iter().partition(|r| direct.contains(r));
        self.reporters = kept;
        if !lost.is_empty() {
            self.past_sources.extend::<BTreeSet<VmName>>(lost);
            self.changed = changes;
        }
        self.alive = self.contact_at.is_some() || !self.reporters.is_empty();
        if self.alive {
            self.last_alive = now;
        }
    }

    /// Updates the room of the peer's pools. With a non-zero interval, a change is sent at most
    /// once per interval, and only if a pool's room changed by a step.
    pub(super) fn set_room(
        &mut self,
        room: BTreeMap<PoolKey, PoolRoom>,
        changes: u64,
        now: Instant,
        interval: Duration,
    ) {
        self.room = room;
        let due = self.sent_at.is_none_or(|then| now.duration_since(then) >= interval);
        let changed = if interval.is_zero() {
            self.sent_room != self.room
        } else {
            self.sent_room.len() != self.room.len()
                || self.room_steps(&self.sent_room) != self.room_steps(&self.room)
        };
        if due && changed {
            self.room_changed = changes;
            self.sent_at = Some(now);
            self.sent_room = self.room.clone();
        }
    }

    /// Free room of each pool rounded down to steps, and whether requests wait.
    fn room_steps(&self, room: &BTreeMap<PoolKey, PoolRoom>) -> Vec<(u64, bool)> {
        let step = |r: &PoolRoom| u64::from(r.free) * Self::ROOM_STEPS / u64::from(r.slots.max(1));
        room.values().map(|r| (step(r), r.queued > 0)).collect()
    }

    pub(super) fn to_update(&self, alive: bool) -> VmUpdate {
        VmUpdate { alive, refutation: self.refutation, state: self.state, vm: self.vm.clone() }
    }

    pub(super) fn to_room_update(&self) -> RoomUpdate {
        RoomUpdate {
            incarnation: self.vm.incarnation,
            name: self.vm.name.clone(),
            room: self.sent_room.clone(),
        }
    }
}
