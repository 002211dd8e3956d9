//! Finds a slot of another availability zone for one request.

use super::{Call, ask_lease::ask_lease};
use crate::{EntryNode, EntryVm, LeaseGrant, LeaseItem, PoolKey, RoomTicket};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Longest wait of a request for a slot of one zone.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// A request that waits for a grant; it is counted until dropped.
struct Waiter<'a> {
    key: &'a PoolKey,
    node: &'a EntryNode,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.node.zones().room().end_wait(self.key);
    }
}

/// Takes a slot that is at hand, or waits for one grant of the pool's owner.
pub(super) async fn borrow_room(
    node: &EntryNode,
    call: &Call,
    key: &PoolKey,
    owner: &EntryVm,
) -> Option<RoomTicket> {
    if let Some(ticket) = take_at_hand(node, key, owner) {
        return Some(ticket);
    }
    let gate = node.zones().room().begin_wait(key);
    let _waiter = Waiter { key, node };
    let wait = LONGEST_WAIT.min(call.time_left() / 2);
    let waiting = async {
        // One request asks for all that wait; the others find its grant at hand.
        let _turn = gate.lock().await;
        if let Some(ticket) = take_at_hand(node, key, owner) {
            return Some(ticket);
        }
        ask_for_room(node, key, owner).await;
        take_at_hand(node, key, owner)
    };
    timeout(wait, waiting).await.ok().flatten()
}

fn take_at_hand(node: &EntryNode, key: &PoolKey, owner: &EntryVm) -> Option<RoomTicket> {
    node.zones().room().take(key, &owner.name, Instant::now())
}

/// Asks a pool's owner for as many slots as are wanted, unless it has just refused.
pub(super) async fn ask_for_room(node: &EntryNode, key: &PoolKey, owner: &EntryVm) {
    let now = Instant::now();
    let round_trip = node.delay_to(&owner.zone) * 2;
    let want = {
        let mut room = node.zones().room();
        if room.was_refused(key, now) {
            return;
        }
        room.want(key, round_trip, now)
    };
    if want == 0 {
        return;
    }
    let item = LeaseItem::Room(key.clone());
    let answer = ask_lease(node, owner.addresses.peers, item, want).await;
    let (grant, asked) = answer.unwrap_or_else(|| (LeaseGrant::default(), Instant::now()));
    node.zones().room().hold(key, owner.name.clone(), grant, asked);
}
