//! Leases a slot of a pool in another availability zone for one request.

use super::{Call, request_lease::request_lease};
use crate::{EntryNode, EntryVm, LeaseGrant, LeaseItem, LeasedSlot, PoolKey};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Maximum time that a request waits for a grant from one zone.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Counts a request as waiting for a grant until dropped.
struct WaitGuard<'a> {
    key: &'a PoolKey,
    node: &'a EntryNode,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.node.zones().slot_leases().end_wait(self.key);
    }
}

/// Returns a slot that this VM has already leased, or waits for a grant from the pool's owner.
pub(super) async fn lease_slot(
    node: &EntryNode,
    call: &Call,
    key: &PoolKey,
    owner: &EntryVm,
) -> Option<LeasedSlot> {
    if let Some(slot) = take_leased_slot(node, key, owner) {
        return Some(slot);
    }
    let lock = node.zones().slot_leases().begin_wait(key);
    let _wait_guard = WaitGuard { key, node };
    let wait = MAX_WAIT.min(call.time_left() / 2);
    let waiting = async {
        // One request calls the owner for all waiting requests; the others then use its grant.
        let _guard = lock.lock().await;
        if let Some(slot) = take_leased_slot(node, key, owner) {
            return Some(slot);
        }
        request_slots(node, key, owner).await;
        take_leased_slot(node, key, owner)
    };
    timeout(wait, waiting).await.ok().flatten()
}

fn take_leased_slot(node: &EntryNode, key: &PoolKey, owner: &EntryVm) -> Option<LeasedSlot> {
    node.zones().slot_leases().take_slot(key, &owner.name, Instant::now())
}

/// Requests as many slots as this VM needs from a pool's owner, unless the owner has just refused.
pub(super) async fn request_slots(node: &EntryNode, key: &PoolKey, owner: &EntryVm) {
    let now = Instant::now();
    let round_trip = node.delay_to(&owner.zone) * 2;
    let wanted = {
        let mut leases = node.zones().slot_leases();
        if leases.was_refused(key, now) {
            return;
        }
        leases.slots_to_request(key, round_trip, now)
    };
    if wanted == 0 {
        return;
    }
    let item = LeaseItem::Room(key.clone());
    let reply = request_lease(node, owner.addresses.peers, item, wanted).await;
    let (grant, sent) = reply.unwrap_or_else(|| (LeaseGrant::default(), Instant::now()));
    node.zones().slot_leases().store_grant(key, owner.name.clone(), grant, sent);
}
