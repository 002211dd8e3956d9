//! Lookup responses, cached by callers for their `max_age_s`.

use adapters::{ConnectionPool, LOOKUP_PATH};
use http::{Request, header::HOST};
use http_body_util::BodyExt;
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{Snapshot, empty_body};
use tokio::time::{Instant, timeout};

/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of a lookup response.
#[derive(Debug, Deserialize)]
struct LookupReply {
    #[serde(rename = "max_age_s")]
    max_age: u64,
    vms: Vec<LookupVmReply>,
}

#[derive(Debug, Deserialize)]
struct LookupVmReply {
    address: SocketAddr,
}

/// Entry VMs with their expiry time, by region and client block.
type CachedLists = BTreeMap<(usize, u8), (Instant, Vec<SocketAddr>)>;

/// Cache of the entry VMs that callers of each region use.
#[derive(Debug)]
pub struct LookupCache {
    /// Entry VM addresses configured in the callers; they may be out of date.
    bootstrap: Vec<SocketAddr>,
    /// Second octet of the client blocks of each region, by region index.
    block_bytes: Vec<u8>,
    lists: Mutex<CachedLists>,
    pool: Arc<ConnectionPool>,
}

impl LookupCache {
    /// Creates an empty cache.
    pub fn new(bootstrap: Vec<SocketAddr>, snapshot: &Snapshot, pool: Arc<ConnectionPool>) -> Self {
        Self { bootstrap, block_bytes: block_bytes(snapshot), lists: Mutex::default(), pool }
    }

    /// Number of client blocks in each region; the cache has an entry for each block.
    pub const BLOCKS: u8 = 32;

    /// Returns the entry VMs for a client block of a region: from the cache, or from the first
    /// entry VM that answers, or the expired list if none answers.
    pub async fn list(&self, region: usize, block: u8) -> Vec<SocketAddr> {
        let key = (region, block);
        let cached = self.lists.lock().expect("no holder of the lists panics").get(&key).cloned();
        let stale = match cached {
            Some((until, list)) if until > Instant::now() => return list,
            Some((_, list)) => list,
            None => Vec::new(),
        };
        for vm in stale.iter().chain(&self.bootstrap) {
            if let Some((age, list)) = self.lookup(*vm, region, block).await {
                let mut lists = self.lists.lock().expect("no holder of the lists panics");
                lists.insert(key, (Instant::now() + age, list.clone()));
                return list;
            }
        }
        stale
    }

    /// Sends a lookup to one entry VM. Returns the list and its lifetime, or `None` if the VM
    /// doesn't answer or the list is empty.
    pub async fn lookup(
        &self,
        vm: SocketAddr,
        region: usize,
        block: u8,
    ) -> Option<(Duration, Vec<SocketAddr>)> {
        let block = format!("10.{}.{block}.0/24", self.block_bytes.get(region)?);
        let request = Request::get(format!("{LOOKUP_PATH}?block={block}"))
            .header(HOST, vm.to_string())
            .body(empty_body())
            .ok()?;
        let call = async {
            let response = self.pool.send(vm, request).await.ok()?;
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            serde_json::from_slice::<LookupReply>(&bytes).ok()
        };
        let answer = timeout(LOOKUP_TIMEOUT, call).await.ok()??;
        let list: Vec<SocketAddr> = answer.vms.iter().map(|vm| vm.address).collect();
        (!list.is_empty()).then(|| (Duration::from_secs(answer.max_age), list))
    }
}

/// Returns the second octet of the first IPv4 block of each region, ordered by region name.
fn block_bytes(snapshot: &Snapshot) -> Vec<u8> {
    let Some(fleet) = snapshot.fleet() else { return Vec::new() };
    let byte = |region| {
        fleet.blocks.iter().filter(|(_, home)| *home == region).find_map(|(block, _)| {
            match block.network().addr() {
                IpAddr::V4(v4) => Some(v4.octets()[1]),
                IpAddr::V6(_) => None,
            }
        })
    };
    fleet.regions.keys().filter_map(byte).collect()
}
