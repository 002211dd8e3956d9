//! The crashes of targets during which each request was running.

use super::CrashNews;
use crate::{Fingerprint, TargetIncarnation};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Clone, Debug)]
struct CrashEntry {
    /// Empty once the request has been served.
    crashed: BTreeSet<TargetIncarnation>,
    /// When the last target crashed, or when the request was served.
    last: Instant,
}

/// Counts the targets that crashed while they ran each request, as reported by all VMs. A request
/// that is served starts anew.
///
/// ```
/// use steer::{CrashTable, Fingerprint, TargetIncarnation};
/// use tokio::time::Instant;
/// let (fingerprint, now) = (Fingerprint::parse("7").unwrap(), Instant::now());
/// let mut table = CrashTable::default();
/// for born in 1..=CrashTable::LIMIT as u64 {
///     assert_eq!(table.refusal_time(fingerprint, now), None);
///     table.record_crash(fingerprint, TargetIncarnation { born, name: "t-1".into() }, now);
/// }
/// assert_eq!(table.refusal_time(fingerprint, now), Some(CrashTable::REFUSAL_TIME));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    entries: BTreeMap<Fingerprint, CrashEntry>,
    /// Time of the latest change.
    latest: Option<Instant>,
}

impl CrashTable {
    /// Number of crashed targets at which a request is refused.
    pub const LIMIT: usize = 3;
    /// Time since the last crash for which a request is refused at first. It may run once after that.
    pub const REFUSAL_TIME: Duration = Duration::from_secs(30);
    /// Factor by which each further crash prolongs that time.
    const REFUSAL_FACTOR: u32 = 4;
    /// Number of further crashes after which a request is refused until it is forgotten.
    const MAX_RETRIES: usize = 3;
    /// Time since the last crash after which a request is forgotten.
    pub const EXPIRY: Duration = Duration::from_secs(24 * 3_600);
    /// Maximum number of requests in the table.
    pub const MAX_ENTRIES: usize = 4_096;
    /// Maximum number of requests in a message.
    pub const MAX_NEWS: usize = 32;
    /// Time for which a change is told: several intervals of hello messages between and inside regions.
    pub const NEWS_TIME: Duration = Duration::from_secs(10);
    /// Maximum number of targets that are stored for a request.
    const MAX_TARGETS: usize = Self::LIMIT + Self::MAX_RETRIES;

    /// Returns whether the table holds no request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of targets that crashed while they ran a request.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.entries.get(&fingerprint).map_or(0, |entry| entry.crashed.len())
    }

    /// Returns the time for which a request is refused; `None` if it may run.
    pub fn refusal_time(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let retries = entry.crashed.len().checked_sub(Self::LIMIT)?;
        let time = match u32::try_from(retries) {
            Ok(exponent) if retries < Self::MAX_RETRIES => {
                Self::REFUSAL_TIME * Self::REFUSAL_FACTOR.pow(exponent)
            }
            _ => Self::EXPIRY,
        };
        let left = time.saturating_sub(now.duration_since(entry.last));
        (!left.is_zero()).then_some(left)
    }

    /// Records that a target crashed while it ran a request; returns whether that is news.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        target: TargetIncarnation,
        now: Instant,
    ) -> bool {
        let crashed = BTreeSet::from([target]);
        self.apply(CrashNews { age: Duration::ZERO, crashed, fingerprint }, now)
    }

    /// Records that a request was served; returns whether that is news.
    pub fn record_served(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let crashed = BTreeSet::new();
        self.apply(CrashNews { age: Duration::ZERO, crashed, fingerprint }, now)
    }

    /// Applies what another VM tells; returns whether it is news. Requests without crashes are
    /// served all the time, so that is news only of a request that the table holds.
    pub fn apply(&mut self, news: CrashNews, now: Instant) -> bool {
        let is_news = self.apply_entry(news, now);
        if is_news {
            self.latest = Some(now);
        }
        is_news
    }

    fn apply_entry(&mut self, news: CrashNews, now: Instant) -> bool {
        let Some(at) = now.checked_sub(news.age).filter(|_| news.age < Self::EXPIRY) else {
            return false;
        };
        let was_served = news.crashed.is_empty();
        match self.entries.get_mut(&news.fingerprint) {
            Some(entry) if was_served => {
                if entry.crashed.is_empty() || at < entry.last {
                    return false;
                }
                *entry = CrashEntry { crashed: BTreeSet::new(), last: at };
                true
            }
            Some(entry) if entry.crashed.is_empty() && at <= entry.last => false,
            Some(entry) => {
                let before = entry.crashed.len();
                let free = Self::MAX_TARGETS.saturating_sub(before);
                let added = news.crashed.difference(&entry.crashed).take(free).cloned();
                let added: Vec<_> = added.collect();
                entry.crashed.extend(added);
                entry.last = entry.last.max(at);
                entry.crashed.len() > before
            }
            None if was_served => false,
            None => {
                let crashed = news.crashed.into_iter().take(Self::MAX_TARGETS).collect();
                self.entries.insert(news.fingerprint, CrashEntry { crashed, last: at });
                self.evict(now);
                true
            }
        }
    }

    /// Returns the latest changes, and all refused requests if `all`, those with most crashes first.
    pub fn news(&self, all: bool, now: Instant) -> Vec<CrashNews> {
        let is_recent = |at: Instant| now.duration_since(at) < Self::NEWS_TIME;
        // Each hello asks for the news, and mostly there are none.
        if !all && !self.latest.is_some_and(is_recent) {
            return Vec::new();
        }
        let told = |entry: &CrashEntry| {
            let is_refused = entry.crashed.len() >= Self::LIMIT;
            is_recent(entry.last) || all && is_refused
        };
        let told = self.entries.iter().filter(|(_, entry)| told(entry));
        let mut news: Vec<CrashNews> = told
            .map(|(fingerprint, entry)| CrashNews {
                age: now.duration_since(entry.last),
                crashed: entry.crashed.clone(),
                fingerprint: *fingerprint,
            })
            .collect();
        news.sort_by_key(|news| (usize::MAX - news.crashed.len(), news.age));
        news.truncate(Self::MAX_NEWS);
        news
    }

    /// Removes expired requests, and one with fewest crashes if there are too many.
    fn evict(&mut self, now: Instant) {
        if self.entries.len() <= Self::MAX_ENTRIES {
            return;
        }
        self.entries.retain(|_, entry| now.duration_since(entry.last) < Self::EXPIRY);
        if self.entries.len() <= Self::MAX_ENTRIES {
            return;
        }
        let least = self.entries.iter().min_by_key(|(_, entry)| (entry.crashed.len(), entry.last));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}
