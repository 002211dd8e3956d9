//! Slots that a pool's owner has lent to entry VMs of other availability zones.

use crate::{LeaseBook, LeaseGrant, LeaseHolder, Permit, PoolKey, PoolRoom, VmName};
use std::collections::BTreeMap;
use tokio::time::Instant;

#[derive(Debug)]
struct Lent {
    holder: LeaseHolder,
    key: PoolKey,
    permits: Vec<Permit>,
    until: Instant,
}

/// Slots that are lent and not yet used. Each one is a permit that the pool counts as busy, so
/// what is lent and what is used never pass the pool's slots.
#[derive(Debug, Default)]
pub struct LentSlots {
    lent: BTreeMap<u64, Lent>,
    next: u64,
    owned: BTreeMap<PoolKey, Instant>,
}

impl LentSlots {
    /// One in so many slots stays free for the zone's own bursts.
    pub const RESERVE_PART: u32 = 4;

    /// Makes a ledger with nothing lent. The numbers of leases begin at the VM's incarnation, so
    /// that a replacement never takes a lease of its predecessor for its own.
    pub fn new(incarnation: u64) -> Self {
        Self { lent: BTreeMap::new(), next: incarnation, owned: BTreeMap::new() }
    }

    /// How many slots of a pool may be lent at once to one asker: half of what is free above a
    /// reserve of a quarter, which the zone's own bursts need.
    ///
    /// ```
    /// use steer::{LentSlots, PoolRoom};
    /// let room = PoolRoom { free: 15, queued: 0, slots: 36 };
    /// assert_eq!(LentSlots::spare(room), 3);
    /// assert_eq!(LentSlots::spare(PoolRoom { free: 9, ..room }), 0);
    /// assert_eq!(LentSlots::spare(PoolRoom { queued: 1, ..room }), 0);
    /// ```
    pub fn spare(room: PoolRoom) -> u32 {
        if room.queued > 0 {
            return 0;
        }
        let reserve = room.slots.div_ceil(Self::RESERVE_PART);
        room.free.saturating_sub(reserve).div_ceil(2)
    }

    /// Notes whether this VM owns a pool, and tells whether it may lend: a new owner waits until
    /// the leases of the owner before it have lapsed.
    pub fn may_lend(&mut self, key: &PoolKey, owned: bool, now: Instant) -> bool {
        if !owned {
            self.owned.remove(key);
            self.lent.retain(|_, lent| lent.key != *key);
            return false;
        }
        let since = *self.owned.entry(key.clone()).or_insert(now);
        now > since + LeaseBook::TERM
    }

    /// Lends slots that the pool has set aside.
    pub fn lend(
        &mut self,
        key: &PoolKey,
        holder: LeaseHolder,
        permits: Vec<Permit>,
        now: Instant,
    ) -> LeaseGrant {
        if permits.is_empty() {
            return LeaseGrant::default();
        }
        self.next += 1;
        let amount = permits.len() as u64;
        let until = now + LeaseBook::TERM;
        self.lent.insert(self.next, Lent { holder, key: key.clone(), permits, until });
        LeaseGrant { amount, id: self.next, term_ms: LeaseBook::TERM.as_millis() as u64 }
    }

    /// Takes a lent slot for a request that names its lease; nothing where the lease is not
    /// known, has lapsed, is used up or belongs to another VM.
    pub fn redeem(
        &mut self,
        key: &PoolKey,
        id: u64,
        holder: &VmName,
        now: Instant,
    ) -> Option<Permit> {
        let lent = self.lent.get_mut(&id)?;
        if lent.key != *key || lent.holder.vm != *holder || now >= lent.until {
            return None;
        }
        lent.permits.pop()
    }

    /// Takes back what a holder has not used of a pool.
    pub fn give_back(&mut self, key: &PoolKey, holder: &LeaseHolder) -> Vec<Permit> {
        let theirs = |lent: &Lent| lent.key == *key && lent.holder == *holder;
        self.remove_where(theirs)
    }

    /// Takes back what lapsed leases have not used.
    pub fn remove_lapsed(&mut self, now: Instant) -> Vec<Permit> {
        self.remove_where(|lent| now >= lent.until || lent.permits.is_empty())
    }

    fn remove_where(&mut self, ends: impl Fn(&Lent) -> bool) -> Vec<Permit> {
        let over = self.lent.extract_if(.., |_, lent| ends(lent));
        over.flat_map(|(_, lent)| lent.permits).collect()
    }

    /// Slots of a pool that are lent and not yet used.
    pub fn lent(&self, key: &PoolKey) -> usize {
        self.lent.values().filter(|l| l.key == *key).map(|l| l.permits.len()).sum()
    }
}
