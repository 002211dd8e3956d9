//! Slots that this VM has leased from pools of other availability zones.

use crate::{Held, Lease, LeaseGrant, PoolKey, VmName, WindowLimiter};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// Permission to run one request in a leased slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeasedSlot {
    /// Identifier of the lease, assigned by the pool's owner.
    pub lease: u64,
}

#[derive(Debug, Default)]
struct PoolLeases {
    request_lock: Arc<Mutex<()>>,
    demand: WindowLimiter,
    leases: Vec<(VmName, Lease<Held>)>,
    refused_at: Option<Instant>,
    waiters: u64,
}

impl PoolLeases {
    /// Returns how many slots are consumed in one round trip at the rate of the last second.
    fn prefetch_slots(&mut self, round_trip: Duration, now: Instant) -> u64 {
        let used = self.demand.usage(now) as f64 * round_trip.as_secs_f64();
        (used.round() as u64).min(SlotLeases::MAX_PREFETCH)
    }
}

/// Leases a few slots in advance from each pool that this VM overflows to, so that a surge doesn't
/// cost one round trip per request.
#[derive(Debug, Default)]
pub struct SlotLeases {
    pools: BTreeMap<PoolKey, PoolLeases>,
}

impl SlotLeases {
    /// Maximum number of slots of one pool that a VM leases ahead of demand.
    pub const MAX_PREFETCH: u64 = 4;
    /// How long an owner without free slots is not requested_at again.
    pub const REFUSAL_BACKOFF: Duration = Duration::from_millis(30);

    /// Creates the state of a VM without leases.
    pub fn new() -> Self {
        Self::default()
    }

    fn pool(&mut self, key: &PoolKey) -> &mut PoolLeases {
        self.pools.entry(key.clone()).or_default()
    }

    /// Records that a request is about to be sent to a pool.
    pub fn record_demand(&mut self, key: &PoolKey, now: Instant) {
        // The limit `u64::MAX` never refuses.
        let _ = self.pool(key).demand.try_acquire(1, u64::MAX, now);
    }

    /// Takes a slot of a lease from the pool's current owner. Expired leases and those of earlier
    /// owners are dropped first.
    pub fn take_slot(&mut self, key: &PoolKey, owner: &VmName, now: Instant) -> Option<LeasedSlot> {
        let pool = self.pool(key);
        let leases = std::mem::take(&mut pool.leases);
        pool.leases = leases
            .into_iter()
            .filter(|(from, _)| from == owner)
            .filter_map(|(from, lease)| Some((from, lease.check(now).ok()?)))
            .collect();
        // The lease that expires first is used first.
        let non_empty = pool.leases.iter_mut().filter(|(_, lease)| lease.amount(now) > 0);
        let (_, lease) = non_empty.min_by_key(|(_, lease)| lease.until())?;
        (lease.consume(1, now) == 1).then(|| LeasedSlot { lease: lease.id() })
    }

    /// Returns a slot that was taken but not used.
    pub fn return_slot(&mut self, key: &PoolKey, slot: LeasedSlot) {
        let mut leases = self.pool(key).leases.iter_mut();
        if let Some((_, lease)) = leases.find(|(_, lease)| lease.id() == slot.lease) {
            lease.return_amount(1);
        }
    }

    /// Stores the grant of a pool's owner and returns whether it contains any slots.
    pub fn store_grant(
        &mut self,
        key: &PoolKey,
        owner: VmName,
        grant: LeaseGrant,
        requested_at: Instant,
    ) -> bool {
        let pool = self.pool(key);
        if grant.amount == 0 {
            pool.refused_at = Some(requested_at);
            return false;
        }
        pool.refused_at = None;
        pool.leases.push((owner, Lease::from_grant(grant, requested_at)));
        true
    }

    /// Returns whether the pool's owner recently refused a lease.
    pub fn was_refused(&self, key: &PoolKey, now: Instant) -> bool {
        let refused_at = self.pools.get(key).and_then(|pool| pool.refused_at);
        refused_at.is_some_and(|at| now.saturating_duration_since(at) < Self::REFUSAL_BACKOFF)
    }

    /// Returns the number of leased slots that are available now.
    pub fn available(&self, key: &PoolKey, now: Instant) -> u64 {
        let leases = self.pools.get(key).map(|pool| pool.leases.as_slice()).unwrap_or_default();
        leases.iter().map(|(_, lease)| lease.amount(now)).sum()
    }

    /// Returns how many more slots to request, to cover the demand of one round trip at the rate of
    /// the last second and the requests that are waiting.
    pub fn slots_to_request(&mut self, key: &PoolKey, round_trip: Duration, now: Instant) -> u64 {
        let available = self.available(key, now);
        let pool = self.pool(key);
        (pool.prefetch_slots(round_trip, now) + pool.waiters).saturating_sub(available)
    }

    /// Returns the pools that this VM has leased slots of or recently sent requests to.
    pub fn pool_keys(&self) -> Vec<PoolKey> {
        self.pools.keys().cloned().collect()
    }

    /// Drops a pool's leased slots if no request is waiting and they exceed the demand of one round
    /// trip. Returns whether there are slots to return to the owner.
    pub fn drop_idle(&mut self, key: &PoolKey, round_trip: Duration, now: Instant) -> bool {
        let available = self.available(key, now);
        let Some(pool) = self.pools.get_mut(key) else { return false };
        if pool.waiters > 0 {
            return false;
        }
        if available > pool.prefetch_slots(round_trip, now) {
            pool.leases.clear();
            return true;
        }
        if pool.demand.usage(now) == 0 {
            self.pools.remove(key);
        }
        false
    }

    /// Registers a request that waits for a grant. Returns the lock that lets only one of the
    /// waiting requests ask the owner at a time.
    pub fn begin_wait(&mut self, key: &PoolKey) -> Arc<Mutex<()>> {
        let pool = self.pool(key);
        pool.waiters += 1;
        Arc::clone(&pool.request_lock)
    }

    /// Unregisters a request that was waiting for a grant.
    pub fn end_wait(&mut self, key: &PoolKey) {
        let pool = self.pool(key);
        pool.waiters = pool.waiters.saturating_sub(1);
    }
}
