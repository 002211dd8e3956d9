//! Slots that a pool's owner has leased to entry VMs of other availability zones.

use crate::{LeaseGrant, LeaseGrantor, LeaseHolder, Permit, PoolKey, PoolRoom, VmName};
use std::collections::BTreeMap;
use tokio::time::Instant;

#[derive(Debug)]
struct GrantedLease {
    holder: LeaseHolder,
    key: PoolKey,
    permits: Vec<Permit>,
    until: Instant,
}

/// Slots that are leased but not yet used. Each is backed by a permit that the pool counts as busy,
/// so leased and used slots together never exceed the pool's slots.
#[derive(Debug, Default)]
pub struct GrantedSlots {
    leases: BTreeMap<u64, GrantedLease>,
    last_id: u64,
    /// When this VM became the owner of each pool that it owns.
    owned_since: BTreeMap<PoolKey, Instant>,
}

impl GrantedSlots {
    /// The fraction 1 / `RESERVE_DIVISOR` of a pool's slots is reserved for bursts in the pool's
    /// own zone.
    pub const RESERVE_DIVISOR: u32 = 4;

    /// Creates a set without leases. Lease identifiers start from the VM's incarnation, so that a
    /// replacement VM never mistakes its predecessor's leases for its own.
    pub fn new(incarnation: u64) -> Self {
        Self { leases: BTreeMap::new(), last_id: incarnation, owned_since: BTreeMap::new() }
    }

    /// Returns how many slots of a pool may be granted in one lease: half of the free slots beyond a
    /// reserve of a quarter of all slots, and none while requests are queued.
    ///
    /// ```
    /// use steer::{GrantedSlots, PoolRoom};
    /// let room = PoolRoom { free: 15, queued: 0, slots: 36 };
    /// assert_eq!(GrantedSlots::grantable(room), 3);
    /// assert_eq!(GrantedSlots::grantable(PoolRoom { free: 9, ..room }), 0);
    /// assert_eq!(GrantedSlots::grantable(PoolRoom { queued: 1, ..room }), 0);
    /// ```
    pub fn grantable(room: PoolRoom) -> u32 {
        if room.queued > 0 {
            return 0;
        }
        let reserve = room.slots.div_ceil(Self::RESERVE_DIVISOR);
        room.free.saturating_sub(reserve).div_ceil(2)
    }

    /// Records whether this VM owns a pool and returns whether it may grant leases. A new owner
    /// waits until the leases of the previous owner have expired. If this VM doesn't own the pool,
    /// its leases on the pool are dropped and their permits released.
    pub fn update_ownership(&mut self, key: &PoolKey, owned: bool, now: Instant) -> bool {
        if !owned {
            self.owned_since.remove(key);
            self.leases.retain(|_, lease| lease.key != *key);
            return false;
        }
        let since = *self.owned_since.entry(key.clone()).or_insert(now);
        now > since + LeaseGrantor::LEASE_DURATION
    }

    /// Grants a lease backed by the given permits; an empty list grants nothing.
    pub fn grant(
        &mut self,
        key: &PoolKey,
        holder: LeaseHolder,
        permits: Vec<Permit>,
        now: Instant,
    ) -> LeaseGrant {
        if permits.is_empty() {
            return LeaseGrant::default();
        }
        self.last_id += 1;
        let amount = permits.len() as u64;
        let until = now + LeaseGrantor::LEASE_DURATION;
        self.leases.insert(self.last_id, GrantedLease { holder, key: key.clone(), permits, until });
        LeaseGrant {
            amount,
            id: self.last_id,
            term_ms: LeaseGrantor::LEASE_DURATION.as_millis() as u64,
        }
    }

    /// Uses one leased slot for a request; `None` if the lease is unknown, expired, used up, or
    /// held by another VM.
    pub fn use_slot(
        &mut self,
        key: &PoolKey,
        id: u64,
        holder: &VmName,
        now: Instant,
    ) -> Option<Permit> {
        let lease = self.leases.get_mut(&id)?;
        if lease.key != *key || lease.holder.vm != *holder || now >= lease.until {
            return None;
        }
        lease.permits.pop()
    }

    /// Reclaims the unused slots that a holder has leased from a pool.
    pub fn reclaim(&mut self, key: &PoolKey, holder: &LeaseHolder) -> Vec<Permit> {
        let is_held = |lease: &GrantedLease| lease.key == *key && lease.holder == *holder;
        self.remove_where(is_held)
    }

    /// Removes expired and used-up leases, and returns their unused slots.
    pub fn reclaim_expired(&mut self, now: Instant) -> Vec<Permit> {
        self.remove_where(|lease| now >= lease.until || lease.permits.is_empty())
    }

    fn remove_where(&mut self, predicate: impl Fn(&GrantedLease) -> bool) -> Vec<Permit> {
        let removed = self.leases.extract_if(.., |_, lease| predicate(lease));
        removed.flat_map(|(_, lease)| lease.permits).collect()
    }

    /// Returns the number of a pool's slots that are leased but not yet used.
    pub fn granted(&self, key: &PoolKey) -> usize {
        self.leases.values().filter(|l| l.key == *key).map(|l| l.permits.len()).sum()
    }
}
