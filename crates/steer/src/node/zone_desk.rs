//! What an entry VM keeps for decisions between availability zones.

use crate::{
    Adoptions, AvailabilityZoneName, EntryVm, LentSlots, LinkPacer, RegionSplit, RoomDesk,
    ShareDesk, ShiftController, VmName,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::{sync::Semaphore, time::Instant};

/// State for decisions between availability zones and regions. Each part has a lock of its own,
/// held for short calls only.
#[derive(Debug)]
pub struct ZoneDesk {
    adopted: Mutex<BTreeMap<AvailabilityZoneName, AvailabilityZoneName>>,
    adoptions: Mutex<Adoptions>,
    lent: Mutex<LentSlots>,
    pacer: Arc<LinkPacer>,
    room: Mutex<RoomDesk>,
    roster: Mutex<BTreeMap<VmName, SocketAddr>>,
    shares: Arc<Mutex<ShareDesk>>,
    shifts: Mutex<ShiftController>,
    split: Mutex<RegionSplit>,
    waiting: Semaphore,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of a desk's lock panics")
}

impl ZoneDesk {
    /// Most requests that wait for room elsewhere where the own zone has no targets.
    const MOST_WAITING: usize = 256;

    /// Makes the desk of a VM that has just started.
    pub fn new(vm: &EntryVm) -> Self {
        let shares = Arc::new(Mutex::new(ShareDesk::new(Instant::now())));
        Self {
            adopted: Mutex::default(),
            adoptions: Mutex::default(),
            lent: Mutex::new(LentSlots::new(vm.incarnation)),
            pacer: Arc::new(LinkPacer::new(Arc::clone(&shares))),
            room: Mutex::default(),
            roster: Mutex::default(),
            shares,
            shifts: Mutex::default(),
            split: Mutex::default(),
            waiting: Semaphore::new(Self::MOST_WAITING),
        }
    }

    /// Zones without entry VMs, and the zones that serve their targets.
    pub fn adopted(&self) -> MutexGuard<'_, BTreeMap<AvailabilityZoneName, AvailabilityZoneName>> {
        lock(&self.adopted)
    }

    /// Since when zones have been without entry VMs.
    pub fn adoptions(&self) -> MutexGuard<'_, Adoptions> {
        lock(&self.adoptions)
    }

    /// Slots that this VM has lent.
    pub fn lent(&self) -> MutexGuard<'_, LentSlots> {
        lock(&self.lent)
    }

    /// Paces bodies that cross links.
    pub fn pacer(&self) -> &Arc<LinkPacer> {
        &self.pacer
    }

    /// Slots that this VM has on lease.
    pub fn room(&self) -> MutexGuard<'_, RoomDesk> {
        lock(&self.room)
    }

    /// The entry VMs of the own region that the platform lists, with their addresses for peers.
    pub fn roster(&self) -> MutexGuard<'_, BTreeMap<VmName, SocketAddr>> {
        lock(&self.roster)
    }

    /// Allowances of the own region.
    pub fn shares(&self) -> MutexGuard<'_, ShareDesk> {
        lock(&self.shares)
    }

    /// Shifts that leave the own region.
    pub fn shifts(&self) -> MutexGuard<'_, ShiftController> {
        lock(&self.shifts)
    }

    /// Splits requests among regions.
    pub fn split(&self) -> MutexGuard<'_, RegionSplit> {
        lock(&self.split)
    }

    /// Bounds the requests that wait for room elsewhere.
    pub fn waiting(&self) -> &Semaphore {
        &self.waiting
    }
}
