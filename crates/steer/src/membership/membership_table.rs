//! What this entry VM knows about its peers.

use super::{EntryVm, VmState};
use crate::{AvailabilityZoneName, Heartbeat, PoolKey, PoolRoom, VmName};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// What is known about one peer.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Digest of the peer's settings.
    pub digest: u64,
    /// When its last heartbeat came.
    pub heard: Instant,
    /// Room of the pools that it owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
    /// State that it announced.
    pub state: VmState,
    /// Who it is.
    pub vm: EntryVm,
}

/// The peers by name, each at its highest incarnation.
#[derive(Debug, Default)]
pub struct MembershipTable {
    peers: BTreeMap<VmName, PeerRecord>,
}

impl MembershipTable {
    /// Time without a heartbeat after which a peer counts as gone.
    pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);

    /// Takes a heartbeat; one from an older incarnation is refused.
    pub fn hear(&mut self, beat: Heartbeat, now: Instant) -> bool {
        if let Some(held) = self.peers.get(&beat.vm.name)
            && held.vm.incarnation > beat.vm.incarnation
        {
            return false;
        }
        let Heartbeat { digest, room, state, vm } = beat;
        self.peers.insert(vm.name.clone(), PeerRecord { digest, heard: now, room, state, vm });
        true
    }

    /// Peers that were heard of lately, sorted by name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(move |p| {
            p.state != VmState::Stopped && now.duration_since(p.heard) < Self::SUSPECT_AFTER
        })
    }

    /// Live peers that take new work.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.live(now).filter(|p| p.state.accepts_work())
    }

    /// Live peers of an availability zone that take new work.
    pub fn serving_in<'a>(
        &'a self,
        zone: &'a AvailabilityZoneName,
        now: Instant,
    ) -> impl Iterator<Item = &'a PeerRecord> {
        self.serving(now).filter(move |p| p.vm.zone == *zone)
    }
}
