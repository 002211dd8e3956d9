//! Shared rate limits, as seen by this VM in its roles of lease holder, voter and coordinator.

use super::{Candidacy, ShareTotal, WindowLimiter};
use crate::{Held, Lease, LeaseGrant, LeaseGrantor, LeaseHolder, ShareKey, VmName, Voter};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// This VM's share of one rate limit.
#[derive(Debug, Default)]
struct LocalShare {
    demand: WindowLimiter,
    quota: u64,
    lease: Option<Lease<Held>>,
    used: WindowLimiter,
}

impl LocalShare {
    fn limit(&self, now: Instant) -> u64 {
        self.quota + self.lease.as_ref().map_or(0, |lease| lease.amount(now))
    }
}

/// This VM's current limit and usage of a shared rate limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareStatus {
    /// Maximum usage in one second.
    pub limit: u64,
    /// Usage in the last second.
    pub used: u64,
}

/// Divides the rate limits of a region among its entry VMs by leases.
#[derive(Debug)]
pub struct ShareAllocator {
    grantors: BTreeMap<ShareKey, LeaseGrantor>,
    candidacy: Candidacy,
    shares: BTreeMap<ShareKey, LocalShare>,
    term_start: Option<Instant>,
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
            term_start: None,
            voter: Voter::new(now + LeaseGrantor::TERM),
        }
    }

    /// Consumes an amount of a rate limit.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before the next attempt if the limit is reached.
    pub fn take(&mut self, key: &ShareKey, amount: u64, now: Instant) -> Result<(), Duration> {
        let share = self.shares.entry(key.clone()).or_default();
        // Demand counts refused attempts too, so that a renewal asks for enough.
        let _always = share.demand.take(amount, u64::MAX, now);
        let limit = share.limit(now);
        share.used.take(amount, limit, now)
    }

    /// Returns this VM's current limit and usage.
    pub fn status(&mut self, key: &ShareKey, now: Instant) -> ShareStatus {
        let share = self.shares.entry(key.clone()).or_default();
        ShareStatus { limit: share.limit(now), used: share.used.used(now) }
    }

    /// Returns the amount to request as a lease: 25% above the demand of the last second.
    pub fn want(&mut self, key: &ShareKey, total: ShareTotal, now: Instant) -> u64 {
        let share = self.shares.entry(key.clone()).or_default();
        share.quota = total.quota;
        let demand = share.demand.used(now);
        (demand + demand.div_ceil(4) + 1).saturating_sub(total.quota).min(total.lent)
    }

    /// Stores a lease that the coordinator granted.
    pub fn hold(&mut self, key: &ShareKey, grant: LeaseGrant, asked: Instant) {
        let share = self.shares.entry(key.clone()).or_default();
        if grant.amount > 0 {
            share.lease = Some(Lease::hold(grant, asked));
        }
    }

    /// Votes for a candidate.
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

    /// Records a vote for this VM.
    pub fn record_vote(
        &mut self,
        voter: VmName,
        grant: LeaseGrant,
        voters: &BTreeSet<VmName>,
        asked: Instant,
        now: Instant,
    ) {
        if grant.amount > 0 {
            let until = Lease::hold(grant, asked).until();
            self.candidacy.record_vote(voter, until, voters, now);
        }
    }

    /// Grants a lease on part of a rate limit if this VM is the coordinator.
    pub fn grant(
        &mut self,
        key: &ShareKey,
        holder: &LeaseHolder,
        want: u64,
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
        if self.term_start != Some(grants_from) {
            // A new term as coordinator: leases granted in an earlier term have expired by
            // `grants_from`.
            self.grantors.clear();
            self.term_start = Some(grants_from);
        }
        let new_grantor = || LeaseGrantor::new(grants_from, WindowLimiter::WINDOW);
        self.grantors.entry(key.clone()).or_insert_with(new_grantor).grant(holder, want, total, now)
    }
}
