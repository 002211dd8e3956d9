//! Index for lookups: the home regions of client blocks, and the VMs nearest to each region.

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
struct HomeRegions {
    regions: Vec<RegionName>,
    table: BlockTable,
}

/// The VMs nearest to a region, cached for a short time.
#[derive(Debug)]
struct NearestList {
    built: Instant,
    vms: Arc<[LookupCandidate]>,
}

/// The data from which lookups are answered.
///
/// ```
/// use std::collections::BTreeMap;
/// use steer::{ClientBlock, LookupIndex};
/// let block: ClientBlock = "10.1.0.0/16".parse().unwrap();
/// let index = LookupIndex::default();
/// index.set_blocks(&BTreeMap::from([(block, "lisboa".into())]));
/// assert_eq!(index.home(&block).unwrap().as_str(), "lisboa");
/// ```
#[derive(Debug, Default)]
pub struct LookupIndex {
    homes: Mutex<Arc<HomeRegions>>,
    nearest: Mutex<BTreeMap<RegionName, NearestList>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lookup index's lock panics")
}

impl LookupIndex {
    /// Time for which a list of nearest VMs is cached.
    pub const NEAREST_MAX_AGE: Duration = Duration::from_millis(200);
    /// Maximum length of a list of nearest VMs.
    pub const MAX_NEAREST: usize = 256;

    /// Sets the home regions of client blocks.
    pub fn set_blocks(&self, blocks: &BTreeMap<ClientBlock, RegionName>) {
        let regions: Vec<RegionName> =
            blocks.values().cloned().collect::<BTreeSet<_>>().into_iter().collect();
        let position = |region| regions.binary_search(region).unwrap_or_default() as u32;
        let table =
            BlockTable::new(blocks.iter().map(|(block, region)| (*block, position(region))));
        *lock(&self.homes) = Arc::new(HomeRegions { regions, table });
    }

    /// Returns the home region of a client block; the longest prefix wins.
    pub fn home(&self, block: &ClientBlock) -> Option<RegionName> {
        let homes = Arc::clone(&lock(&self.homes));
        let index = homes.table.find(block.network().addr())?;
        homes.regions.get(index as usize).cloned()
    }

    /// Returns the VMs nearest to a region, from a list at most `NEAREST_MAX_AGE` old.
    pub fn nearest(
        &self,
        home: &RegionName,
        now: Instant,
        list: impl FnOnce() -> Vec<LookupCandidate>,
    ) -> Arc<[LookupCandidate]> {
        let cached = lock(&self.nearest)
            .get(home)
            .filter(|nearest| now.duration_since(nearest.built) < Self::NEAREST_MAX_AGE)
            .map(|nearest| Arc::clone(&nearest.vms));
        if let Some(vms) = cached {
            return vms;
        }
        let mut vms = list();
        vms.sort_by(|a, b| a.delay_ms.total_cmp(&b.delay_ms));
        vms.truncate(Self::MAX_NEAREST);
        let vms: Arc<[LookupCandidate]> = vms.into();
        let nearest = NearestList { built: now, vms: Arc::clone(&vms) };
        lock(&self.nearest).insert(home.clone(), nearest);
        vms
    }

    /// Clears the cached lists, so that a change takes effect at once.
    pub fn clear_nearest(&self) {
        lock(&self.nearest).clear();
    }
}
