//! The outstanding leases of one grantor on one total.

use super::{LeaseGrant, LeaseHolder, max_min_fair};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    amount: u64,
    until: Instant,
}

#[derive(Clone, Debug)]
struct Account {
    grants: Vec<OutstandingGrant>,
    last_request: Instant,
    demand: u64,
}

impl Account {
    /// The largest outstanding grant. If the reply to a renewal is lost, the holder still uses an
    /// earlier grant.
    fn committed(&self) -> u64 {
        self.grants.iter().map(|g| g.amount).max().unwrap_or_default()
    }
}

/// Grants parts of a total as leases, so that the amount possibly in use never exceeds the total.
///
/// Usage counts towards a rate limit's window for some time after its lease has expired. A part is
/// granted again only after this `usage_window`.
///
/// ```
/// use std::time::Duration;
/// use steer::{LeaseGrantor, LeaseHolder};
/// use tokio::time::Instant;
/// let now = Instant::now();
/// let mut grantor = LeaseGrantor::new(now, Duration::from_secs(1));
/// let holder = |vm: &str| LeaseHolder { incarnation: 1, vm: vm.into() };
/// assert_eq!(grantor.grant(&holder("a"), 10, 10, now).amount, 10);
/// assert_eq!(grantor.grant(&holder("b"), 10, 10, now).amount, 0);
/// ```
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    accounts: BTreeMap<LeaseHolder, Account>,
    usage_window: Duration,
    last_id: u64,
    grants_from: Instant,
}

impl LeaseGrantor {
    /// Duration of a lease.
    pub const LEASE_DURATION: Duration = Duration::from_secs(2);

    /// Creates a grantor that grants nothing before `grants_from`.
    pub fn new(grants_from: Instant, usage_window: Duration) -> Self {
        Self { accounts: BTreeMap::new(), usage_window, last_id: 0, grants_from }
    }

    /// Grants or renews a lease; the new grant replaces the holder's previous one.
    pub fn grant(
        &mut self,
        holder: &LeaseHolder,
        demand: u64,
        total: u64,
        now: Instant,
    ) -> LeaseGrant {
        self.remove_expired(now);
        if now < self.grants_from {
            return LeaseGrant::default();
        }
        let new_account = Account { grants: Vec::new(), last_request: now, demand };
        let account = self.accounts.entry(holder.clone()).or_insert(new_account);
        (account.last_request, account.demand) = (now, demand);
        let others: u64 =
            self.accounts.iter().filter(|(h, _)| *h != holder).map(|(_, a)| a.committed()).sum();
        let amount = self.fair_share(holder, total).min(total.saturating_sub(others));
        if amount > 0
            && let Some(account) = self.accounts.get_mut(holder)
        {
            account.grants.push(OutstandingGrant { amount, until: now + Self::LEASE_DURATION });
        }
        self.last_id += 1;
        LeaseGrant { amount, id: self.last_id, term_ms: Self::LEASE_DURATION.as_millis() as u64 }
    }

    /// Removes grants whose duration and usage window are over. A holder that was granted nothing
    /// is kept for the duration of a lease, so that its demand reduces the fair shares of the
    /// others.
    fn remove_expired(&mut self, now: Instant) {
        let usage_window = self.usage_window;
        for account in self.accounts.values_mut() {
            account.grants.retain(|g| now <= g.until + usage_window);
        }
        self.accounts.retain(|_, account| {
            !account.grants.is_empty() || now <= account.last_request + Self::LEASE_DURATION
        });
    }

    fn fair_share(&self, holder: &LeaseHolder, total: u64) -> u64 {
        let demands: Vec<u64> = self.accounts.values().map(|a| a.demand).collect();
        let index = self.accounts.keys().position(|h| h == holder);
        index.map_or(0, |i| max_min_fair(total, &demands)[i])
    }

    /// Returns the total amount that holders may be using or have used within the usage window.
    pub fn committed(&mut self, now: Instant) -> u64 {
        self.remove_expired(now);
        self.accounts.values().map(Account::committed).sum()
    }
}
