//! Finds the requests that crash the targets that run them.

use super::{PoisonTable, Suspect};
use crate::{Fingerprint, TargetName};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex as StdMutex, MutexGuard},
};
use tokio::{
    sync::{Mutex, Notify, OwnedMutexGuard},
    time::{Instant, timeout_at},
};

/// Guard of a target's suspect lock: while it is held, no other suspect runs on the target.
#[derive(Debug)]
pub struct SuspectGuard {
    _guard: OwnedMutexGuard<()>,
}

/// Finds the requests that crash the targets that run them.
///
/// When a target crashes, every request running on it becomes a suspect. From then on a suspect
/// runs only on a target without other suspects, and if that target crashes, the crash counts only
/// against this suspect. So an innocent request that was running during one crash isn't counted for
/// the next.
#[derive(Debug, Default)]
pub struct PoisonDetector {
    changed: Notify,
    locks: StdMutex<BTreeMap<TargetName, Arc<Mutex<()>>>>,
    table: StdMutex<PoisonTable>,
}

impl PoisonDetector {
    /// Creates a detector without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    fn table(&self) -> MutexGuard<'_, PoisonTable> {
        self.table.lock().expect("no holder of the table's mutex panics")
    }

    fn suspect_lock(&self, target: &TargetName) -> Arc<Mutex<()>> {
        let mut locks = self.locks.lock().expect("no holder of the locks' mutex panics");
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        Arc::clone(locks.entry(target.clone()).or_default())
    }

    /// Returns whether a request is refused as poison.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.table().is_poison(fingerprint, Instant::now())
    }

    /// Waits until a suspect may run on a target. A request that isn't a suspect gets `None` at
    /// once.
    ///
    /// # Errors
    ///
    /// If another suspect held the target until the deadline.
    pub async fn lock_target(
        &self,
        fingerprint: Fingerprint,
        target: &TargetName,
        until: Instant,
    ) -> Result<Option<SuspectGuard>, tokio::time::error::Elapsed> {
        if self.table().crash_count(fingerprint, Instant::now()) == 0 {
            return Ok(None);
        }
        let guard = timeout_at(until, self.suspect_lock(target).lock_owned()).await?;
        Ok(Some(SuspectGuard { _guard: guard }))
    }

    /// Records that a target crashed while running a request. `alone` is true if the request held
    /// the target's suspect lock.
    pub fn record_crash(&self, fingerprint: Fingerprint, target: &TargetName, alone: bool) {
        let suspect_runs = !alone && self.suspect_lock(target).try_lock().is_err();
        if !suspect_runs && self.table().record_crash(fingerprint, target, Instant::now()) {
            self.changed.notify_one();
        }
    }

    /// Merges a peer's suspects; changes are passed on to other peers.
    pub fn merge(&self, suspects: &[Suspect]) {
        let now = Instant::now();
        let mut table = self.table();
        let changes = suspects.iter().filter(|suspect| table.merge(suspect, now)).count();
        drop(table);
        if changes > 0 {
            self.changed.notify_one();
        }
    }

    /// Returns the most recent suspects, for peers and operators.
    pub fn newest(&self) -> Vec<Suspect> {
        self.table().newest(Instant::now())
    }

    /// Waits until the table has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
