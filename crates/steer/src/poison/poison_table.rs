//! Targets that each suspect request has ended.

use super::Suspect;
use crate::{Fingerprint, TargetName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Clone, Debug)]
struct Entry {
    last: Instant,
    targets: BTreeSet<TargetName>,
}

/// Counts the distinct targets that each request has ended, over all entry VMs.
///
/// ```
/// use steer::{Fingerprint, PoisonTable};
/// use tokio::time::Instant;
/// let (print, now) = (Fingerprint::parse("7").unwrap(), Instant::now());
/// let mut table = PoisonTable::new();
/// table.strike(print, &"briefs-1".into(), now);
/// table.strike(print, &"briefs-1".into(), now);
/// assert!(!table.is_poison(print, now));
/// table.strike(print, &"briefs-2".into(), now);
/// assert!(table.is_poison(print, now));
/// assert!(!table.is_poison(print, now + PoisonTable::EXPIRY));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl PoisonTable {
    /// Time after the last ended target after which a request is tried again.
    pub const EXPIRY: Duration = Duration::from_secs(600);
    /// Most requests that are remembered; the oldest give way.
    pub const LIMIT: usize = 4096;
    /// Most requests in one message to a peer.
    pub const MESSAGE_LIMIT: usize = 64;

    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request's run ended a target; tells whether the table changed.
    pub fn strike(&mut self, print: Fingerprint, target: &TargetName, now: Instant) -> bool {
        let targets = BTreeSet::from([target.clone()]);
        self.merge(&Suspect { age: Duration::ZERO, print, targets }, now)
    }

    /// Takes what a peer knows; tells whether the table changed. Repeated news renew nothing.
    pub fn merge(&mut self, suspect: &Suspect, now: Instant) -> bool {
        let Some(last) = now.checked_sub(suspect.age) else { return false };
        if suspect.age >= Self::EXPIRY || suspect.targets.len() > Suspect::LIMIT {
            return false;
        }
        self.entries.retain(|_, entry| now.duration_since(entry.last) < Self::EXPIRY);
        let empty = || Entry { last, targets: BTreeSet::new() };
        let entry = self.entries.entry(suspect.print).or_insert_with(empty);
        if entry.targets.len() >= Suspect::LIMIT || suspect.targets.is_subset(&entry.targets) {
            return false;
        }
        let missing = Suspect::LIMIT - entry.targets.len();
        let fresh: Vec<_> = suspect.targets.difference(&entry.targets).cloned().collect();
        entry.targets.extend(fresh.into_iter().take(missing));
        entry.last = entry.last.max(last);
        self.bound();
        true
    }

    fn bound(&mut self) {
        if self.entries.len() <= Self::LIMIT {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last).map(|(p, _)| *p);
        if let Some(print) = oldest {
            self.entries.remove(&print);
        }
    }

    /// Number of targets that a request has ended.
    pub fn strikes(&self, print: Fingerprint, now: Instant) -> usize {
        self.entries
            .get(&print)
            .filter(|entry| now.duration_since(entry.last) < Self::EXPIRY)
            .map_or(0, |entry| entry.targets.len())
    }

    /// Tells whether a request is refused.
    pub fn is_poison(&self, print: Fingerprint, now: Instant) -> bool {
        self.strikes(print, now) >= Suspect::LIMIT
    }

    /// The newest suspects, for peers and operators.
    pub fn newest(&self, now: Instant) -> Vec<Suspect> {
        let mut suspects: Vec<Suspect> = self
            .entries
            .iter()
            .map(|(print, entry)| Suspect {
                age: now.duration_since(entry.last),
                print: *print,
                targets: entry.targets.clone(),
            })
            .filter(|suspect| suspect.age < Self::EXPIRY)
            .collect();
        suspects.sort_by_key(|suspect| (suspect.age, suspect.print));
        suspects.truncate(Self::MESSAGE_LIMIT);
        suspects
    }
}
