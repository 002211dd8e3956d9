//! Slots of other availability zones that this VM has on lease.

use crate::{Held, Lease, LeaseGrant, PoolKey, VmName, WindowLimiter};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// Leave to run one request in a lent slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomTicket {
    /// Number of the lease at the pool's owner.
    pub lease: u64,
}

#[derive(Debug, Default)]
struct Shelf {
    asking: Arc<Mutex<()>>,
    demand: WindowLimiter,
    leases: Vec<(VmName, Lease<Held>)>,
    refused: Option<Instant>,
    waiting: u64,
}

impl Shelf {
    /// Slots that the demand of the last second uses up in one round trip.
    fn ahead(&mut self, round_trip: Duration, now: Instant) -> u64 {
        let used = self.demand.used(now) as f64 * round_trip.as_secs_f64();
        (used.round() as u64).min(RoomDesk::MOST_AHEAD)
    }
}

/// Holds a few slots of each pool that this VM's overflow goes to, so that a surge does not pay
/// a round trip a request.
#[derive(Debug, Default)]
pub struct RoomDesk {
    shelves: BTreeMap<PoolKey, Shelf>,
}

impl RoomDesk {
    /// Most slots of one pool that a VM holds ahead of its demand.
    pub const MOST_AHEAD: u64 = 4;
    /// Time for which an owner that had no room is not asked again.
    pub const REFUSED_WAIT: Duration = Duration::from_millis(30);

    /// Makes a desk that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    fn shelf(&mut self, key: &PoolKey) -> &mut Shelf {
        self.shelves.entry(key.clone()).or_default()
    }

    /// Notes that a request is to leave for a pool.
    pub fn note_demand(&mut self, key: &PoolKey, now: Instant) {
        let _always = self.shelf(key).demand.take(1, u64::MAX, now);
    }

    /// Takes a slot of a lease from the pool's owner of now; a lapsed lease is given up first.
    pub fn take(&mut self, key: &PoolKey, owner: &VmName, now: Instant) -> Option<RoomTicket> {
        let shelf = self.shelf(key);
        let leases = std::mem::take(&mut shelf.leases);
        shelf.leases = leases
            .into_iter()
            .filter(|(from, _)| from == owner)
            .filter_map(|(from, lease)| Some((from, lease.check(now).ok()?)))
            .collect();
        // The lease that ends first is used first.
        let filled = shelf.leases.iter_mut().filter(|(_, lease)| lease.amount(now) > 0);
        let (_, lease) = filled.min_by_key(|(_, lease)| lease.until())?;
        (lease.take(1, now) == 1).then(|| RoomTicket { lease: lease.id() })
    }

    /// Puts back a slot that was taken and not used.
    pub fn put_back(&mut self, key: &PoolKey, ticket: RoomTicket) {
        let mut leases = self.shelf(key).leases.iter_mut();
        if let Some((_, lease)) = leases.find(|(_, lease)| lease.id() == ticket.lease) {
            lease.put_back(1);
        }
    }

    /// Holds what an owner granted; tells whether it was anything.
    pub fn hold(
        &mut self,
        key: &PoolKey,
        owner: VmName,
        grant: LeaseGrant,
        asked: Instant,
    ) -> bool {
        let shelf = self.shelf(key);
        if grant.amount == 0 {
            shelf.refused = Some(asked);
            return false;
        }
        shelf.refused = None;
        shelf.leases.push((owner, Lease::hold(grant, asked)));
        true
    }

    /// Tells whether the pool's owner had no room a moment ago.
    pub fn was_refused(&self, key: &PoolKey, now: Instant) -> bool {
        let refused = self.shelves.get(key).and_then(|s| s.refused);
        refused.is_some_and(|at| now.saturating_duration_since(at) < Self::REFUSED_WAIT)
    }

    /// Slots at hand.
    pub fn at_hand(&self, key: &PoolKey, now: Instant) -> u64 {
        let leases = self.shelves.get(key).map(|s| s.leases.as_slice()).unwrap_or_default();
        leases.iter().map(|(_, lease)| lease.amount(now)).sum()
    }

    /// How many more slots to ask for: what the demand of the last second uses up in one round
    /// trip, and what requests wait for now.
    pub fn want(&mut self, key: &PoolKey, round_trip: Duration, now: Instant) -> u64 {
        let at_hand = self.at_hand(key, now);
        let shelf = self.shelf(key);
        (shelf.ahead(round_trip, now) + shelf.waiting).saturating_sub(at_hand)
    }

    /// Pools that this VM holds slots of, or has sent requests to in the last second.
    pub fn keys(&self) -> Vec<PoolKey> {
        self.shelves.keys().cloned().collect()
    }

    /// Drops the slots of a pool that no request waits for, where they are more than the demand
    /// of the last second needs; tells whether there were any to give back.
    pub fn drop_idle(&mut self, key: &PoolKey, round_trip: Duration, now: Instant) -> bool {
        let at_hand = self.at_hand(key, now);
        let Some(shelf) = self.shelves.get_mut(key) else { return false };
        if shelf.waiting > 0 {
            return false;
        }
        if at_hand > shelf.ahead(round_trip, now) {
            shelf.leases.clear();
            return true;
        }
        if shelf.demand.used(now) == 0 {
            self.shelves.remove(key);
        }
        false
    }

    /// Notes one more request that waits for a grant, and gives the lock that lets one ask.
    pub fn begin_wait(&mut self, key: &PoolKey) -> Arc<Mutex<()>> {
        let shelf = self.shelf(key);
        shelf.waiting += 1;
        Arc::clone(&shelf.asking)
    }

    /// Notes that a request waits no more.
    pub fn end_wait(&mut self, key: &PoolKey) {
        let shelf = self.shelf(key);
        shelf.waiting = shelf.waiting.saturating_sub(1);
    }
}
