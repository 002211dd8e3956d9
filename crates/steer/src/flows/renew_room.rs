//! Keeps a few slots of other zones at hand, and takes back what was lent.

use super::{ask_lease::ask_lease, borrow_room::ask_for_room};
use crate::{EntryNode, LeaseItem, PoolKey, PoolOwner, VmState};
use futures_util::future::join_all;
use slog::info;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between two looks at what is lent and borrowed.
const PERIOD: Duration = Duration::from_millis(100);

/// Renews, gives back and takes back slots until the VM has stopped.
pub async fn renew_room(node: &EntryNode) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while node.state() != VmState::Stopped {
        ticks.tick().await;
        if node.refresh_adoptions() {
            info!(node.log(), "zones: adoption changed"; "serving" => ?node.served_zones());
            node.refresh_pools();
        }
        take_back(node);
        let keys = node.zones().room().keys();
        join_all(keys.iter().map(|key| renew(node, key))).await;
    }
}

/// Frees slots of lapsed leases, and notes which pools this VM owns.
fn take_back(node: &EntryNode) {
    let now = Instant::now();
    let freed = node.zones().lent().remove_lapsed(now);
    drop(freed);
    let snapshot = node.snapshot();
    for zone in node.served_zones() {
        for service in snapshot.services() {
            let key = PoolKey { service: service.name.clone(), zone: zone.clone() };
            let owned = node.pool_owner(&key) == PoolOwner::Here;
            node.zones().lent().may_lend(&key, owned, now);
        }
    }
}

async fn renew(node: &EntryNode, key: &PoolKey) {
    let PoolOwner::Peer(owner) = node.pool_owner(key) else { return };
    let round_trip = node.delay_to(&owner.zone) * 2;
    if node.zones().room().drop_idle(key, round_trip, Instant::now()) {
        let item = LeaseItem::Room(key.clone());
        // A return that gets lost is made good by the lapse.
        let _lost = ask_lease(node, owner.addresses.peers, item, 0).await;
        return;
    }
    ask_for_room(node, key, &owner).await;
}
