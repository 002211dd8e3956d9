//! State of an entry VM for decisions that involve other availability zones.

use crate::{
    AvailabilityZoneName, EntryVm, GrantedSlots, LinkPacer, OrphanTracker, RegionSplit,
    ShareAllocator, ShiftController, SlotLeases, VmName,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::{sync::Semaphore, time::Instant};

/// State for decisions that involve other availability zones and regions. Each part has its own
/// lock, which is held for short calls only.
#[derive(Debug)]
pub struct CrossZoneState {
    adopted_zones: Mutex<BTreeMap<AvailabilityZoneName, AvailabilityZoneName>>,
    adoption_state: Mutex<OrphanTracker>,
    granted_slots: Mutex<GrantedSlots>,
    pacer: Arc<LinkPacer>,
    slot_leases: Mutex<SlotLeases>,
    voters: Mutex<BTreeMap<VmName, SocketAddr>>,
    shares: Arc<Mutex<ShareAllocator>>,
    shifts: Mutex<ShiftController>,
    split: Mutex<RegionSplit>,
    waiting: Semaphore,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the zone state's locks panics")
}

impl CrossZoneState {
    /// Maximum number of requests that wait for a slot in another zone when this zone has no
    /// targets.
    const MAX_WAITING: usize = 256;

    /// Creates the state of a VM that has just started.
    pub fn new(vm: &EntryVm) -> Self {
        let shares = Arc::new(Mutex::new(ShareAllocator::new(Instant::now())));
        Self {
            adopted_zones: Mutex::default(),
            adoption_state: Mutex::default(),
            granted_slots: Mutex::new(GrantedSlots::new(vm.incarnation)),
            pacer: Arc::new(LinkPacer::new(Arc::clone(&shares))),
            slot_leases: Mutex::default(),
            voters: Mutex::default(),
            shares,
            shifts: Mutex::default(),
            split: Mutex::default(),
            waiting: Semaphore::new(Self::MAX_WAITING),
        }
    }

    /// Zones without entry VMs, each with the zone that serves its targets.
    pub fn adopted_zones(
        &self,
    ) -> MutexGuard<'_, BTreeMap<AvailabilityZoneName, AvailabilityZoneName>> {
        lock(&self.adopted_zones)
    }

    /// How long zones have been without entry VMs.
    pub fn adoption_state(&self) -> MutexGuard<'_, OrphanTracker> {
        lock(&self.adoption_state)
    }

    /// Slots that this VM has granted to peers.
    pub fn granted_slots(&self) -> MutexGuard<'_, GrantedSlots> {
        lock(&self.granted_slots)
    }

    /// The pacer of bodies sent across links.
    pub fn pacer(&self) -> &Arc<LinkPacer> {
        &self.pacer
    }

    /// Slots that this VM has leased from peers.
    pub fn slot_leases(&self) -> MutexGuard<'_, SlotLeases> {
        lock(&self.slot_leases)
    }

    /// The entry VMs of this region that the platform lists, with their addresses for peers.
    pub fn voters(&self) -> MutexGuard<'_, BTreeMap<VmName, SocketAddr>> {
        lock(&self.voters)
    }

    /// Shared rate limits of this region.
    pub fn shares(&self) -> MutexGuard<'_, ShareAllocator> {
        lock(&self.shares)
    }

    /// Shifts away from this region.
    pub fn shifts(&self) -> MutexGuard<'_, ShiftController> {
        lock(&self.shifts)
    }

    /// The split of requests among regions.
    pub fn split(&self) -> MutexGuard<'_, RegionSplit> {
        lock(&self.split)
    }

    /// Limits the requests that wait for a slot in other zones.
    pub fn waiting(&self) -> &Semaphore {
        &self.waiting
    }
}
