//! Answers of look-ups, cached by callers as long as they may be.

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

/// Longest wait for the answer of a look-up.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// An answer to a look-up.
#[derive(Debug, Deserialize)]
struct LookupBody {
    #[serde(rename = "max_age_s")]
    max_age: u64,
    vms: Vec<LookupVmBody>,
}

#[derive(Debug, Deserialize)]
struct LookupVmBody {
    address: SocketAddr,
}

/// Entry VMs with the time until which they are used, by region and block.
type Lists = BTreeMap<(usize, u8), (Instant, Vec<SocketAddr>)>;

/// The entry VMs that each caller region uses now.
#[derive(Debug)]
pub struct LookupCache {
    /// Addresses that callers know from the beginning, which may be out of date.
    bootstrap: Vec<SocketAddr>,
    /// Second byte of the client blocks of each region, by the region's number.
    homes: Vec<u8>,
    lists: Mutex<Lists>,
    pool: Arc<ConnectionPool>,
}

impl LookupCache {
    /// Makes an empty cache.
    pub fn new(bootstrap: Vec<SocketAddr>, snapshot: &Snapshot, pool: Arc<ConnectionPool>) -> Self {
        Self { bootstrap, homes: home_bytes(snapshot), lists: Mutex::default(), pool }
    }

    /// Client blocks of each region, each with a cached answer of its own.
    pub const BLOCKS: u8 = 32;

    /// The list for a block of a region: from the cache, or from any entry VM that answers; an
    /// old list is used where none does.
    pub async fn list(&self, region: usize, block: u8) -> Vec<SocketAddr> {
        let key = (region, block);
        let held = self.lists.lock().expect("no holder of the lists panics").get(&key).cloned();
        let old = match held {
            Some((until, list)) if until > Instant::now() => return list,
            Some((_, list)) => list,
            None => Vec::new(),
        };
        for vm in old.iter().chain(&self.bootstrap) {
            if let Some((age, list)) = self.ask(*vm, region, block).await {
                let mut lists = self.lists.lock().expect("no holder of the lists panics");
                lists.insert(key, (Instant::now() + age, list.clone()));
                return list;
            }
        }
        old
    }

    /// Asks one entry VM; `None` where it doesn't answer or names no VM.
    pub async fn ask(
        &self,
        vm: SocketAddr,
        region: usize,
        block: u8,
    ) -> Option<(Duration, Vec<SocketAddr>)> {
        let block = format!("10.{}.{block}.0/24", self.homes.get(region)?);
        let request = Request::get(format!("{LOOKUP_PATH}?block={block}"))
            .header(HOST, vm.to_string())
            .body(empty_body())
            .ok()?;
        let exchange = async {
            let response = self.pool.send(vm, request).await.ok()?;
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            serde_json::from_slice::<LookupBody>(&bytes).ok()
        };
        let answer = timeout(ANSWER_WAIT, exchange).await.ok()??;
        let list: Vec<SocketAddr> = answer.vms.iter().map(|vm| vm.address).collect();
        (!list.is_empty()).then(|| (Duration::from_secs(answer.max_age), list))
    }
}

/// The second byte of the first IPv4 block of each region, in the order of the regions' names.
fn home_bytes(snapshot: &Snapshot) -> Vec<u8> {
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
