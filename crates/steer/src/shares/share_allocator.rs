//! This VM's part in its region's shared rate limits: as lease holder, voter and coordinator.

use super::{Candidacy, ShareTotal, WindowLimiter};
use crate::{Held, Lease, LeaseGrant, LeaseGrantor, LeaseHolder, ShareKey, VmName, Voter};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// The part of one shared rate limit that this VM may use, and what it used.
#[derive(Debug, Default)]
struct LocalShare {
    demand: WindowLimiter,
    quota: u64,
    lease: Option<Lease<Held>>,
    usage: WindowLimiter,
}

impl LocalShare {
    fn limit(&self, now: Instant) -> u64 {
        self.quota + self.lease.as_ref().map_or(0, |lease| lease.amount(now))
    }
}

/// This VM's current limit and usage of a shared rate limit, in bytes for a link and in requests
/// for a shift.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareStatus {
    /// Maximum usage in one second.
    pub limit: u64,
    /// Usage in the last second.
    pub used: u64,
}

/// Divides the rate limits of a region among its entry VMs.
///
/// A rate limit applies to all entry VMs of the region together. The share of one VM is its fixed
/// quota plus the amount that the region's coordinator leases to it.
#[derive(Debug)]
pub struct ShareAllocator {
    grantors: BTreeMap<ShareKey, LeaseGrantor>,
    candidacy: Candidacy,
    shares: BTreeMap<ShareKey, LocalShare>,
    /// Start time of the grants of `grantors`; a new one means that this VM was elected again.
    grantors_from: Option<Instant>,
    voter: Voter,
}

impl ShareAllocator {
    /// Creates the state of a VM that has just started. It casts no vote until the votes of an
    /// earlier incarnation have expired.
    pub fn new(now: Instant) -> Self {
        Self {
            grantors: BTreeMap::new(),
            candidacy: Candidacy::new(),
            shares: BTreeMap::new(),
            grantors_from: None,
            voter: Voter::new(now + LeaseGrantor::LEASE_DURATION),
        }
    }

    /// Consumes an amount of a rate limit.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before the next attempt if the limit is reached.
    pub fn try_acquire(
        &mut self,
        key: &ShareKey,
        amount: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let share = self.shares.entry(key.clone()).or_default();
        // Refused attempts count as demand too, so that a renewal requests enough. The limit
        // `u64::MAX` never refuses.
        let _ = share.demand.try_acquire(amount, u64::MAX, now);
        let limit = share.limit(now);
        share.usage.try_acquire(amount, limit, now)
    }

    /// Returns this VM's current limit and usage.
    pub fn status(&mut self, key: &ShareKey, now: Instant) -> ShareStatus {
        let share = self.shares.entry(key.clone()).or_default();
        ShareStatus { limit: share.limit(now), used: share.usage.usage(now) }
    }

    /// Stores this VM's quota and returns the amount to request as a lease: the demand of the last
    /// second plus 25% and 1, less the quota, and at most the amount that is leased out.
    pub fn prepare_request(&mut self, key: &ShareKey, total: ShareTotal, now: Instant) -> u64 {
        let share = self.shares.entry(key.clone()).or_default();
        share.quota = total.quota;
        let demand = share.demand.usage(now);
        (demand + demand.div_ceil(4) + 1).saturating_sub(total.quota).min(total.leasable)
    }

    /// Stores a lease that the coordinator granted.
    pub fn store_lease(&mut self, key: &ShareKey, grant: LeaseGrant, requested_at: Instant) {
        let share = self.shares.entry(key.clone()).or_default();
        if grant.amount > 0 {
            share.lease = Some(Lease::from_grant(grant, requested_at));
        }
    }

    /// Votes for a candidate. A grant of an amount above 0 is the vote; 0 refuses it.
    pub fn vote(&mut self, candidate: LeaseHolder, now: Instant) -> LeaseGrant {
        self.voter.vote(candidate, now)
    }

    /// Returns the candidate that holds this VM's vote.
    pub fn voted_for(&self, now: Instant) -> Option<&LeaseHolder> {
        self.voter.holder(now)
    }

    /// Returns whether this VM is the region's coordinator now.
    pub fn is_coordinator(&mut self, voters: &BTreeSet<VmName>, now: Instant) -> bool {
        self.candidacy.is_elected(voters, now)
    }

    /// Records a vote for this VM; a grant of 0 is a refused vote and is ignored.
    pub fn record_vote(
        &mut self,
        voter: VmName,
        grant: LeaseGrant,
        voters: &BTreeSet<VmName>,
        requested_at: Instant,
        now: Instant,
    ) {
        if grant.amount > 0 {
            let until = Lease::from_grant(grant, requested_at).until();
            self.candidacy.record_vote(voter, until, voters, now);
        }
    }

    /// Grants a lease on part of a rate limit if this VM is the coordinator.
    pub fn grant(
        &mut self,
        key: &ShareKey,
        holder: &LeaseHolder,
        demand: u64,
        total: u64,
        voters: &BTreeSet<VmName>,
        now: Instant,
    ) -> LeaseGrant {
        if !self.candidacy.is_elected(voters, now) {
            return LeaseGrant::default();
        }
        let Some(grants_from) = self.candidacy.grants_from(WindowLimiter::WINDOW) else {
            return LeaseGrant::default();
        };
        if self.grantors_from != Some(grants_from) {
            // This VM was elected again. The leases of its earlier period as coordinator have
            // expired by `grants_from`.
            self.grantors.clear();
            self.grantors_from = Some(grants_from);
        }
        let new_grantor = || LeaseGrantor::new(grants_from, WindowLimiter::WINDOW);
        self.grantors
            .entry(key.clone())
            .or_insert_with(new_grantor)
            .grant(holder, demand, total, now)
    }
}
