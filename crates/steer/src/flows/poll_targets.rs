//! Polls the load reports of the targets in the pools that this VM owns.

use crate::{EntryNode, PoolKey, PoolOwner, Service, TargetName, TargetPool};
use rand::RngExt;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// Period at which pool ownership is checked.
const OWNERSHIP_PERIOD: Duration = Duration::from_millis(500);
/// Range of the randomized pause between two polls of a target, in milliseconds.
const POLL_PAUSE_MS: std::ops::Range<u64> = 400..600;
/// Timeout for reading a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Tasks that poll the targets of one pool; dropping a handle aborts its task.
type Polls = BTreeMap<(TargetName, SocketAddr), AbortOnDropHandle<()>>;

/// Runs one polling task for each target of the pools that this VM owns, and calls
/// [`TargetPool::take_over`] when this VM becomes the owner of a pool.
pub async fn poll_targets(node: &Arc<EntryNode>) {
    let mut owned: BTreeMap<PoolKey, Polls> = BTreeMap::new();
    let mut ticks = interval(OWNERSHIP_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let snapshot = node.snapshot();
        let mut polls = BTreeMap::new();
        for service in snapshot.services() {
            let zone = node.vm().zone.clone();
            let key = PoolKey { service: service.name.clone(), zone };
            if node.pool_owner(&key) != PoolOwner::ThisVm {
                continue;
            }
            let pool = node.pool(&key);
            let mut current = owned.remove(&key).unwrap_or_else(|| {
                pool.take_over();
                Polls::new()
            });
            update_polls(node, service, &key, &pool, &mut current);
            publish_gauges(node, &key, &pool);
            polls.insert(key, current);
        }
        owned = polls;
    }
}

/// Starts a task for each new target and aborts those of removed targets.
fn update_polls(
    node: &Arc<EntryNode>,
    service: &Service,
    key: &PoolKey,
    pool: &Arc<TargetPool>,
    current: &mut Polls,
) {
    let mut polls = Polls::new();
    for (name, target) in service.settings.targets.iter().filter(|(_, t)| t.zone == key.zone) {
        let id = (name.clone(), target.address);
        let poll = current.remove(&id).unwrap_or_else(|| {
            let (node, pool, name) = (Arc::clone(node), Arc::clone(pool), name.clone());
            let address = target.address;
            let task = async move { poll_target(&node, &pool, &name, address).await };
            AbortOnDropHandle::new(tokio::spawn(task))
        });
        polls.insert(id, poll);
    }
    *current = polls;
}

/// Polls the load reports of one target until aborted.
async fn poll_target(
    node: &EntryNode,
    pool: &Arc<TargetPool>,
    name: &TargetName,
    address: SocketAddr,
) {
    loop {
        let reading = node.ports().targets.read_load(address);
        match timeout(REPORT_TIMEOUT, reading).await {
            Ok(Ok(report)) => pool.apply_report(name, report),
            Ok(Err(_)) | Err(_) => node.ports().meter.count("target.report_failed", 1),
        }
        let pause = rand::rng().random_range(POLL_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Publishes the pool's slot and queue counts as gauges.
fn publish_gauges(node: &EntryNode, key: &PoolKey, pool: &TargetPool) {
    let meter = &node.ports().meter;
    let room = pool.room();
    let service = &key.service;
    meter.gauge(&format!("pool.{service}.eased"), pool.ejected() as u64);
    meter.gauge(&format!("pool.{service}.free"), room.free.into());
    meter.gauge(&format!("pool.{service}.queued"), room.queued.into());
    meter.gauge(&format!("pool.{service}.slots"), room.slots.into());
}
