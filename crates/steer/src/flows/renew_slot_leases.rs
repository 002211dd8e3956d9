//! Renews the leases of slots in other zones, and reclaims granted slots whose lease has expired.

use super::{lease_slot::request_slots, request_lease::request_lease};
use crate::{EntryNode, LeaseItem, PoolKey, PoolOwner, VmState};
use futures_util::future::join_all;
use slog::info;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Period at which granted and leased slots are checked.
const PERIOD: Duration = Duration::from_millis(100);

/// Renews and returns leased slots, and reclaims granted ones, until the VM has stopped.
pub async fn renew_slot_leases(node: &EntryNode) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while node.state() != VmState::Stopped {
        ticks.tick().await;
        if node.refresh_adoptions() {
            info!(node.log(), "zones: adoption changed"; "serving" => ?node.served_zones());
            node.refresh_pools();
        }
        reclaim_slots(node);
        let keys = node.zones().slot_leases().pool_keys();
        join_all(keys.iter().map(|key| renew(node, key))).await;
    }
}

/// Frees the slots of expired leases, and updates in which pools this VM may grant slots.
fn reclaim_slots(node: &EntryNode) {
    let now = Instant::now();
    let freed = node.zones().granted_slots().reclaim_expired(now);
    drop(freed);
    let snapshot = node.snapshot();
    for zone in node.served_zones() {
        for service in snapshot.services() {
            let key = PoolKey { service: service.name.clone(), zone: zone.clone() };
            let owned = node.pool_owner(&key) == PoolOwner::ThisVm;
            node.zones().granted_slots().update_ownership(&key, owned, now);
        }
    }
}

/// Requests the slots that this VM needs from a pool's owner, or returns them if they are idle.
async fn renew(node: &EntryNode, key: &PoolKey) {
    let PoolOwner::Peer(owner) = node.pool_owner(key) else { return };
    let round_trip = node.delay_to(&owner.zone) * 2;
    if node.zones().slot_leases().drop_idle(key, round_trip, Instant::now()) {
        let item = LeaseItem::Room(key.clone());
        // If this message is lost, the owner frees the slots when the lease expires.
        let _reply = request_lease(node, owner.addresses.peers, item, 0).await;
        return;
    }
    request_slots(node, key, &owner).await;
}
