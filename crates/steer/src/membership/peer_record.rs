//! What is known about one peer.

use super::{EntryVm, MembershipTable, VmState};
use crate::{MemberNews, PoolKey, PoolRoom, RoomNews, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// What is known about one peer, at one incarnation.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    pub(super) alive: bool,
    pub(super) changed: u64,
    pub(super) room_changed: u64,
    pub(super) suspected: bool,
    accusers: BTreeMap<VmName, u64>,
    direct: Option<Instant>,
    past: BTreeSet<VmName>,
    room_told: Option<Instant>,
    tellers: BTreeSet<VmName>,
    told: BTreeMap<PoolKey, PoolRoom>,
    window: Duration,
    /// Digest of the peer's settings.
    pub digest: u64,
    /// When it was last known to live.
    pub heard: Instant,
    /// How often it refuted a suspicion.
    pub refutation: u64,
    /// Room of the pools that it owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
    /// State that it announced.
    pub state: VmState,
    /// Who it is.
    pub vm: EntryVm,
}

impl PeerRecord {
    /// Room of other regions is passed on once in as many heartbeats.
    pub(super) const FAR_ROOMS: u32 = 3;
    /// Silence after which a peer is suspected, until the first sweep.
    const FIRST_WINDOW: Duration = Duration::from_millis(750);
    /// Steps in which the room of other regions is told.
    const ROOM_STEPS: u64 = 8;

    pub(super) fn new(news: &MemberNews, changes: u64, now: Instant) -> Self {
        Self {
            accusers: BTreeMap::new(),
            alive: news.alive,
            changed: changes,
            digest: 0,
            direct: None,
            past: BTreeSet::new(),
            heard: now,
            refutation: news.refutation,
            room: BTreeMap::new(),
            room_changed: 0,
            room_told: None,
            state: news.state,
            suspected: false,
            tellers: BTreeSet::new(),
            told: BTreeMap::new(),
            vm: news.vm.clone(),
            window: Self::FIRST_WINDOW,
        }
    }

    /// Takes newer news of the same incarnation; tells whether it refutes a suspicion.
    pub(super) fn update(&mut self, news: &MemberNews, changes: u64) -> bool {
        let refuted = news.refutation > self.refutation;
        let later = news.state.rank() > self.state.rank();
        if refuted {
            self.refutation = news.refutation;
            self.suspected = false;
        }
        if later {
            self.state = news.state;
        }
        if refuted || later {
            self.changed = changes;
        }
        refuted
    }

    /// The peer spoke for itself.
    pub(super) fn set_direct(&mut self, now: Instant, changes: u64) {
        if self.direct.is_none() {
            self.changed = changes;
        }
        self.alive = true;
        self.direct = Some(now);
        self.heard = now;
        self.suspected = false;
    }

    /// When the peer last spoke for itself, or was last vouched for.
    pub fn heard_direct(&self) -> Instant {
        self.direct.unwrap_or(self.heard)
    }

    /// The peer itself is heard.
    pub fn is_direct(&self) -> bool {
        self.direct.is_some()
    }

    /// The peer is vouched for, or spoke for itself not long ago.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        let gone = self.window + MembershipTable::REFUTE_WITHIN;
        let heard = |then| now.saturating_duration_since(then) < gone;
        !self.tellers.is_empty() || self.direct.is_some_and(heard)
    }

    pub(super) fn add_teller(&mut self, teller: &VmName, changes: u64) {
        if self.tellers.insert(teller.clone()) {
            self.alive = true;
            self.changed = changes;
        }
    }

    /// A teller says that the peer is gone; one of the peer's own zone knows best.
    pub(super) fn lose_teller(
        &mut self,
        teller: &VmName,
        news: &MemberNews,
        neighbour: bool,
        changes: u64,
    ) {
        if news.refutation < self.refutation {
            return;
        }
        if self.tellers.remove(teller) {
            self.past.insert(teller.clone());
            self.changed = changes;
        }
        if neighbour && self.direct.take().is_some() {
            self.past.insert(self.vm.name.clone());
            self.changed = changes;
        }
    }

    pub(super) fn note_suspicion(&mut self, by: &VmName, incarnation: u64, refutation: u64) {
        if incarnation == self.vm.incarnation && refutation >= self.refutation {
            self.accusers.insert(by.clone(), refutation);
        }
    }

    /// Others suspect the peer and it has not refuted yet.
    pub(super) fn is_accused(&self) -> bool {
        self.accusers.values().any(|refutation| *refutation >= self.refutation)
    }

    /// A VM suspected the peer, which has refuted since.
    pub(super) fn is_vouched_to(&self, name: &VmName) -> bool {
        self.accusers.get(name).is_some_and(|refutation| *refutation < self.refutation)
    }

    /// Those from whom this VM knows that the peer lives.
    pub(super) fn sources(&self) -> impl Iterator<Item = &VmName> {
        self.tellers.iter().chain(self.direct.is_some().then_some(&self.vm.name))
    }

    /// Those from whom this VM knew that the peer lived.
    pub(super) fn past_sources(&self) -> impl Iterator<Item = &VmName> {
        self.past.iter()
    }

    /// Leaves a time out in which this VM itself could not hear.
    pub(super) fn forgive(&mut self, gap: Duration) {
        self.direct = self.direct.map(|then| then + gap);
    }

    /// Judges how long the peer has not spoken for itself.
    pub(super) fn judge_silence(&mut self, window: Duration, changes: u64, now: Instant) {
        self.window = window;
        let Some(then) = self.direct else { return };
        let silence = now.saturating_duration_since(then);
        self.suspected = silence >= window;
        if silence >= window + MembershipTable::REFUTE_WITHIN {
            self.direct = None;
            self.past.insert(self.vm.name.clone());
            self.changed = changes;
        }
    }

    /// Counts only those tellers that are heard themselves.
    pub(super) fn judge_tellers(&mut self, direct: &BTreeSet<VmName>, changes: u64, now: Instant) {
        let (kept, lost) =
            std::mem::take(&mut self.tellers).into_iter().partition(|t| direct.contains(t));
        self.tellers = kept;
        if !lost.is_empty() {
            self.past.extend::<BTreeSet<VmName>>(lost);
            self.changed = changes;
        }
        self.alive = self.direct.is_some() || !self.tellers.is_empty();
        if self.alive {
            self.heard = now;
        }
    }

    /// Takes the room of the peer's pools. With a pace, it is passed on only once in that time
    /// and where it changed by a step.
    pub(super) fn set_room(
        &mut self,
        room: BTreeMap<PoolKey, PoolRoom>,
        changes: u64,
        now: Instant,
        pace: Duration,
    ) {
        self.room = room;
        let due = self.room_told.is_none_or(|then| now.duration_since(then) >= pace);
        let changed = if pace.is_zero() {
            self.told != self.room
        } else {
            self.told.len() != self.room.len() || self.steps(&self.told) != self.steps(&self.room)
        };
        if due && changed {
            self.room_changed = changes;
            self.room_told = Some(now);
            self.told = self.room.clone();
        }
    }

    fn steps(&self, room: &BTreeMap<PoolKey, PoolRoom>) -> Vec<(u64, bool)> {
        let step = |r: &PoolRoom| u64::from(r.free) * Self::ROOM_STEPS / u64::from(r.slots.max(1));
        room.values().map(|r| (step(r), r.queued > 0)).collect()
    }

    pub(super) fn news(&self, alive: bool) -> MemberNews {
        MemberNews { alive, refutation: self.refutation, state: self.state, vm: self.vm.clone() }
    }

    pub(super) fn room_news(&self) -> RoomNews {
        RoomNews {
            incarnation: self.vm.incarnation,
            name: self.vm.name.clone(),
            room: self.told.clone(),
        }
    }
}
