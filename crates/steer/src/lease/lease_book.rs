//! The leases that one grantor has given out of one total.

use super::{LeaseGrant, LeaseHolder, max_min};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
struct Entry {
    amount: u64,
    until: Instant,
}

#[derive(Clone, Debug)]
struct Account {
    grants: Vec<Entry>,
    heard: Instant,
    want: u64,
}

impl Account {
    /// The most that the holder may still act on: a reply that got lost leaves the holder with
    /// an earlier grant.
    fn charge(&self) -> u64 {
        self.grants.iter().map(|g| g.amount).max().unwrap_or_default()
    }
}

/// Grants parts of a total as leases, so that the parts that may be in use never pass it.
///
/// A rate that was used counts in its window for some time after the lease ended; `linger` is
/// that time, and a part is granted again only after it.
///
/// ```
/// use std::time::Duration;
/// use steer::{LeaseBook, LeaseHolder};
/// use tokio::time::Instant;
/// let now = Instant::now();
/// let mut book = LeaseBook::new(now, Duration::from_secs(1));
/// let holder = |vm: &str| LeaseHolder { incarnation: 1, vm: vm.into() };
/// assert_eq!(book.grant(&holder("a"), 10, 10, now).amount, 10);
/// assert_eq!(book.grant(&holder("b"), 10, 10, now).amount, 0);
/// ```
#[derive(Clone, Debug)]
pub struct LeaseBook {
    accounts: BTreeMap<LeaseHolder, Account>,
    linger: Duration,
    next: u64,
    opens: Instant,
}

impl LeaseBook {
    /// How long a lease holds.
    pub const TERM: Duration = Duration::from_secs(2);

    /// Makes a book that grants nothing before `opens`.
    pub fn new(opens: Instant, linger: Duration) -> Self {
        Self { accounts: BTreeMap::new(), linger, next: 0, opens }
    }

    /// Grants a lease or renews it; the grant replaces what the holder had.
    pub fn grant(
        &mut self,
        holder: &LeaseHolder,
        want: u64,
        total: u64,
        now: Instant,
    ) -> LeaseGrant {
        self.forget_lapsed(now);
        if now < self.opens {
            return LeaseGrant::default();
        }
        let fresh = Account { grants: Vec::new(), heard: now, want };
        let account = self.accounts.entry(holder.clone()).or_insert(fresh);
        (account.heard, account.want) = (now, want);
        let others: u64 =
            self.accounts.iter().filter(|(h, _)| *h != holder).map(|(_, a)| a.charge()).sum();
        let amount = self.fair_part(holder, total).min(total.saturating_sub(others));
        if amount > 0
            && let Some(account) = self.accounts.get_mut(holder)
        {
            account.grants.push(Entry { amount, until: now + Self::TERM });
        }
        self.next += 1;
        LeaseGrant { amount, id: self.next, term_ms: Self::TERM.as_millis() as u64 }
    }

    /// Forgets the grants whose time, and the time in which their use counts, is over. A holder
    /// that got nothing is remembered for a term, so that the others make room for it.
    fn forget_lapsed(&mut self, now: Instant) {
        let linger = self.linger;
        for account in self.accounts.values_mut() {
            account.grants.retain(|g| now <= g.until + linger);
        }
        self.accounts
            .retain(|_, account| !account.grants.is_empty() || now <= account.heard + Self::TERM);
    }

    fn fair_part(&self, holder: &LeaseHolder, total: u64) -> u64 {
        let wants: Vec<u64> = self.accounts.values().map(|a| a.want).collect();
        let index = self.accounts.keys().position(|h| h == holder);
        index.map_or(0, |i| max_min(total, &wants)[i])
    }

    /// The sum of what holders may act on or have used lately.
    pub fn charged(&mut self, now: Instant) -> u64 {
        self.forget_lapsed(now);
        self.accounts.values().map(Account::charge).sum()
    }
}
