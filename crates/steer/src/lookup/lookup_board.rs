//! What look-ups are answered from: home regions of blocks, and the VMs near each region.

use super::{BlockTable, LookupCandidate};
use crate::{ClientBlock, RegionName};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// Home regions of client blocks.
#[derive(Debug, Default)]
struct Homes {
    regions: Vec<RegionName>,
    table: BlockTable,
}

/// The VMs near a region, as they were a short time ago.
#[derive(Debug)]
struct NearList {
    built: Instant,
    vms: Arc<[LookupCandidate]>,
}

/// What look-ups are answered from.
///
/// ```
/// use std::collections::BTreeMap;
/// use steer::{ClientBlock, LookupBoard};
/// let block: ClientBlock = "10.1.0.0/16".parse().unwrap();
/// let board = LookupBoard::default();
/// board.set_blocks(&BTreeMap::from([(block, "lisboa".into())]));
/// assert_eq!(board.home(&block).unwrap().as_str(), "lisboa");
/// ```
#[derive(Debug, Default)]
pub struct LookupBoard {
    homes: Mutex<Arc<Homes>>,
    near: Mutex<BTreeMap<RegionName, NearList>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of a board's lock panics")
}

impl LookupBoard {
    /// Time for which a list of near VMs is used before it is made anew.
    pub const NEAR_AGE: Duration = Duration::from_millis(200);
    /// Most VMs of a list of near VMs.
    pub const NEAR_LIMIT: usize = 256;

    /// Takes the home regions of client blocks.
    pub fn set_blocks(&self, blocks: &BTreeMap<ClientBlock, RegionName>) {
        let regions: Vec<RegionName> =
            blocks.values().cloned().collect::<BTreeSet<_>>().into_iter().collect();
        let index = |region| regions.binary_search(region).unwrap_or_default() as u32;
        let table = BlockTable::new(blocks.iter().map(|(block, region)| (*block, index(region))));
        *lock(&self.homes) = Arc::new(Homes { regions, table });
    }

    /// The home region of a client block; the longest prefix wins.
    pub fn home(&self, block: &ClientBlock) -> Option<RegionName> {
        let homes = Arc::clone(&lock(&self.homes));
        let index = homes.table.find(block.network().addr())?;
        homes.regions.get(index as usize).cloned()
    }

    /// The VMs nearest to a region, from a list that is at most `NEAR_AGE` old.
    pub fn near(
        &self,
        home: &RegionName,
        now: Instant,
        list: impl FnOnce() -> Vec<LookupCandidate>,
    ) -> Arc<[LookupCandidate]> {
        let held = lock(&self.near)
            .get(home)
            .filter(|near| now.duration_since(near.built) < Self::NEAR_AGE)
            .map(|near| Arc::clone(&near.vms));
        if let Some(vms) = held {
            return vms;
        }
        let mut vms = list();
        vms.sort_by(|a, b| a.delay_ms.total_cmp(&b.delay_ms));
        vms.truncate(Self::NEAR_LIMIT);
        let vms: Arc<[LookupCandidate]> = vms.into();
        let near = NearList { built: now, vms: Arc::clone(&vms) };
        lock(&self.near).insert(home.clone(), near);
        vms
    }

    /// Forgets the lists of near VMs, so that a change shows at once.
    pub fn forget_near(&self) {
        lock(&self.near).clear();
    }
}
