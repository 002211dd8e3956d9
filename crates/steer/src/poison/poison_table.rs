//! The targets that each suspect request has crashed.

use super::Suspect;
use crate::{Fingerprint, TargetName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Clone, Debug)]
struct SuspectEntry {
    last: Instant,
    targets: BTreeSet<TargetName>,
}

/// Counts the distinct targets that each request has crashed, as reported by all entry VMs.
///
/// ```
/// use steer::{Fingerprint, PoisonTable};
/// use tokio::time::Instant;
/// let (fingerprint, now) = (Fingerprint::parse("7").unwrap(), Instant::now());
/// let mut table = PoisonTable::new();
/// table.record_crash(fingerprint, &"briefs-1".into(), now);
/// table.record_crash(fingerprint, &"briefs-1".into(), now);
/// assert!(!table.is_poison(fingerprint, now));
/// table.record_crash(fingerprint, &"briefs-2".into(), now);
/// assert!(table.is_poison(fingerprint, now));
/// assert!(!table.is_poison(fingerprint, now + PoisonTable::EXPIRY));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    entries: BTreeMap<Fingerprint, SuspectEntry>,
}

impl PoisonTable {
    /// Time since the last crash after which a request may run again.
    pub const EXPIRY: Duration = Duration::from_secs(600);
    /// Maximum number of requests in the table; the oldest are evicted.
    pub const LIMIT: usize = 4096;
    /// Maximum number of requests in one message to a peer.
    pub const MESSAGE_LIMIT: usize = 64;

    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request crashed a target and returns whether the table changed.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        target: &TargetName,
        now: Instant,
    ) -> bool {
        let targets = BTreeSet::from([target.clone()]);
        self.merge(&Suspect { age: Duration::ZERO, fingerprint, targets }, now)
    }

    /// Merges a peer's entry and returns whether the table changed. Known targets don't extend the
    /// expiry.
    pub fn merge(&mut self, suspect: &Suspect, now: Instant) -> bool {
        let Some(last) = now.checked_sub(suspect.age) else { return false };
        if suspect.age >= Self::EXPIRY || suspect.targets.len() > Suspect::LIMIT {
            return false;
        }
        self.entries.retain(|_, entry| now.duration_since(entry.last) < Self::EXPIRY);
        let empty = || SuspectEntry { last, targets: BTreeSet::new() };
        let entry = self.entries.entry(suspect.fingerprint).or_insert_with(empty);
        if entry.targets.len() >= Suspect::LIMIT || suspect.targets.is_subset(&entry.targets) {
            return false;
        }
        let capacity = Suspect::LIMIT - entry.targets.len();
        let new_targets: Vec<_> = suspect.targets.difference(&entry.targets).cloned().collect();
        entry.targets.extend(new_targets.into_iter().take(capacity));
        entry.last = entry.last.max(last);
        self.evict_oldest();
        true
    }

    fn evict_oldest(&mut self) {
        if self.entries.len() <= Self::LIMIT {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last).map(|(p, _)| *p);
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
        }
    }

    /// Returns the number of targets that a request has crashed.
    pub fn crash_count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        self.entries
            .get(&fingerprint)
            .filter(|entry| now.duration_since(entry.last) < Self::EXPIRY)
            .map_or(0, |entry| entry.targets.len())
    }

    /// Returns whether a request is refused as poison.
    pub fn is_poison(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crash_count(fingerprint, now) >= Suspect::LIMIT
    }

    /// Returns the most recent suspects, for peers and operators.
    pub fn newest(&self, now: Instant) -> Vec<Suspect> {
        let mut suspects: Vec<Suspect> = self
            .entries
            .iter()
            .map(|(fingerprint, entry)| Suspect {
                age: now.duration_since(entry.last),
                fingerprint: *fingerprint,
                targets: entry.targets.clone(),
            })
            .filter(|suspect| suspect.age < Self::EXPIRY)
            .collect();
        suspects.sort_by_key(|suspect| (suspect.age, suspect.fingerprint));
        suspects.truncate(Self::MESSAGE_LIMIT);
        suspects
    }
}
