//! The life of the look at the own targets' load reports.

use crate::{EntryNode, PoolKey, PoolOwner, Service, TargetName, TargetPool};
use rand::RngExt;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// Time between two looks at which pools are owned.
const PERIOD: Duration = Duration::from_millis(500);
/// Shortest and longest time between two reports of a target.
const REPORT_PERIOD_MS: std::ops::Range<u64> = 400..600;
/// Longest wait for a report.
const REPORT_WAIT: Duration = Duration::from_secs(1);

/// The tasks that read the reports of one pool's targets; each ends when it is dropped.
type Polls = BTreeMap<(TargetName, SocketAddr), AbortOnDropHandle<()>>;

/// Keeps one task for each target of the pools that this VM owns, and tells a pool when this VM
/// begins to own it.
pub async fn poll_targets(node: &Arc<EntryNode>) {
    let mut owned: BTreeMap<PoolKey, Polls> = BTreeMap::new();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let snapshot = node.snapshot();
        let mut polls = BTreeMap::new();
        for service in snapshot.services() {
            let zone = node.vm().zone.clone();
            let key = PoolKey { service: service.name.clone(), zone };
            if node.pool_owner(&key) != PoolOwner::Here {
                continue;
            }
            let pool = node.pool(&key);
            let mut held = owned.remove(&key).unwrap_or_else(|| {
                pool.take_over();
                Polls::new()
            });
            update_polls(node, service, &key, &pool, &mut held);
            report_room(node, &key, &pool);
            polls.insert(key, held);
        }
        owned = polls;
    }
}

/// Starts a task for each new target and ends those of targets that are gone.
fn update_polls(
    node: &Arc<EntryNode>,
    service: &Service,
    key: &PoolKey,
    pool: &Arc<TargetPool>,
    held: &mut Polls,
) {
    let mut polls = Polls::new();
    for (name, target) in service.settings.targets.iter().filter(|(_, t)| t.zone == key.zone) {
        let id = (name.clone(), target.address);
        let poll = held.remove(&id).unwrap_or_else(|| {
            let (node, pool, name) = (Arc::clone(node), Arc::clone(pool), name.clone());
            let address = target.address;
            let task = async move { poll_target(&node, &pool, &name, address).await };
            AbortOnDropHandle::new(tokio::spawn(task))
        });
        polls.insert(id, poll);
    }
    *held = polls;
}

/// Reads the load reports of one target, again and again.
async fn poll_target(
    node: &EntryNode,
    pool: &Arc<TargetPool>,
    name: &TargetName,
    address: SocketAddr,
) {
    loop {
        let reading = node.ports().targets.read_load(address);
        match timeout(REPORT_WAIT, reading).await {
            Ok(Ok(report)) => pool.take_report(name, report),
            Ok(Err(_)) | Err(_) => node.ports().meter.count("target.report_failed", 1),
        }
        let pause = rand::rng().random_range(REPORT_PERIOD_MS);
        sleep(Duration::from_millis(pause)).await;
    }
}

fn report_room(node: &EntryNode, key: &PoolKey, pool: &TargetPool) {
    let meter = &node.ports().meter;
    let room = pool.room();
    let service = &key.service;
    meter.gauge(&format!("pool.{service}.eased"), pool.eased() as u64);
    meter.gauge(&format!("pool.{service}.free"), room.free.into());
    meter.gauge(&format!("pool.{service}.queued"), room.queued.into());
    meter.gauge(&format!("pool.{service}.slots"), room.slots.into());
}
