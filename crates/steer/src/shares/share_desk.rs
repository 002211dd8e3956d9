//! This VM's part in dividing allowances: as a holder, as a voter and as a coordinator.

use super::{Candidacy, ShareTotal, WindowLimiter};
use crate::{Held, Lease, LeaseBook, LeaseGrant, LeaseHolder, ShareKey, VmName, VoteBook};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// What this VM holds of one allowance.
#[derive(Debug, Default)]
struct Holding {
    asked: WindowLimiter,
    floor: u64,
    lease: Option<Lease<Held>>,
    used: WindowLimiter,
}

impl Holding {
    fn limit(&self, now: Instant) -> u64 {
        self.floor + self.lease.as_ref().map_or(0, |lease| lease.amount(now))
    }
}

/// What this VM may use of an allowance now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareStatus {
    /// Most in one second.
    pub limit: u64,
    /// Used in the last second.
    pub used: u64,
}

/// Divides the allowances of a region.
#[derive(Debug)]
pub struct ShareDesk {
    books: BTreeMap<ShareKey, LeaseBook>,
    candidacy: Candidacy,
    holdings: BTreeMap<ShareKey, Holding>,
    opened: Option<Instant>,
    votes: VoteBook,
}

impl ShareDesk {
    /// Makes a desk; it votes for nobody until votes of an earlier incarnation have lapsed.
    pub fn new(now: Instant) -> Self {
        Self {
            books: BTreeMap::new(),
            candidacy: Candidacy::new(),
            holdings: BTreeMap::new(),
            opened: None,
            votes: VoteBook::new(now + LeaseBook::TERM),
        }
    }

    /// Uses a part of an allowance.
    ///
    /// # Errors
    ///
    /// Gives the time after which there may be room.
    pub fn take(&mut self, key: &ShareKey, amount: u64, now: Instant) -> Result<(), Duration> {
        let holding = self.holdings.entry(key.clone()).or_default();
        // Asks count whether they are met or not, so that a renewal knows the demand.
        let _always = holding.asked.take(amount, u64::MAX, now);
        let limit = holding.limit(now);
        holding.used.take(amount, limit, now)
    }

    /// What this VM may use now.
    pub fn status(&mut self, key: &ShareKey, now: Instant) -> ShareStatus {
        let holding = self.holdings.entry(key.clone()).or_default();
        ShareStatus { limit: holding.limit(now), used: holding.used.used(now) }
    }

    /// How much this VM wants to be lent: a quarter above the demand of the last second.
    pub fn want(&mut self, key: &ShareKey, total: ShareTotal, now: Instant) -> u64 {
        let holding = self.holdings.entry(key.clone()).or_default();
        holding.floor = total.floor;
        let demand = holding.asked.used(now);
        (demand + demand.div_ceil(4) + 1).saturating_sub(total.floor).min(total.lent)
    }

    /// Holds what the coordinator granted.
    pub fn hold(&mut self, key: &ShareKey, grant: LeaseGrant, asked: Instant) {
        let holding = self.holdings.entry(key.clone()).or_default();
        if grant.amount > 0 {
            holding.lease = Some(Lease::hold(grant, asked));
        }
    }

    /// Votes for a candidate.
    pub fn vote(&mut self, candidate: LeaseHolder, now: Instant) -> LeaseGrant {
        self.votes.vote(candidate, now)
    }

    /// The candidate that has this VM's vote now.
    pub fn voted_for(&self, now: Instant) -> Option<&LeaseHolder> {
        self.votes.holder(now)
    }

    /// Tells whether this VM is the region's coordinator now.
    pub fn is_coordinator(&mut self, roster: &BTreeSet<VmName>, now: Instant) -> bool {
        self.candidacy.is_elected(roster, now)
    }

    /// Notes a vote for this VM.
    pub fn note_vote(
        &mut self,
        voter: VmName,
        grant: LeaseGrant,
        roster: &BTreeSet<VmName>,
        asked: Instant,
        now: Instant,
    ) {
        if grant.amount > 0 {
            let until = Lease::hold(grant, asked).until();
            self.candidacy.note_vote(voter, until, roster, now);
        }
    }

    /// Grants a part of an allowance, where this VM is the coordinator.
    pub fn grant(
        &mut self,
        key: &ShareKey,
        holder: &LeaseHolder,
        want: u64,
        total: u64,
        roster: &BTreeSet<VmName>,
        now: Instant,
    ) -> LeaseGrant {
        if !self.candidacy.is_elected(roster, now) {
            return LeaseGrant::default();
        }
        let Some(opens) = self.candidacy.opens(WindowLimiter::WINDOW) else {
            return LeaseGrant::default();
        };
        if self.opened != Some(opens) {
            // A new term of office: what was granted in an earlier one has lapsed by `opens`.
            self.books.clear();
            self.opened = Some(opens);
        }
        let fresh = || LeaseBook::new(opens, WindowLimiter::WINDOW);
        self.books.entry(key.clone()).or_insert_with(fresh).grant(holder, want, total, now)
    }
}
