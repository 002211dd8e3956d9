//! Watches which requests end the targets that run them.

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

/// Holds a target's place for suspects: while it is held, no other suspect runs there.
#[derive(Debug)]
pub struct Alone {
    _place: OwnedMutexGuard<()>,
}

/// Watches which requests end the targets that run them.
///
/// A target that ends takes all its requests with it, and each becomes a suspect. From then on a
/// suspect runs on a target with no other suspect, and where that target ends, the suspect alone
/// is blamed. So a bystander of one end isn't taken for the culprit of the next.
#[derive(Debug, Default)]
pub struct PoisonWatch {
    changed: Notify,
    places: StdMutex<BTreeMap<TargetName, Arc<Mutex<()>>>>,
    table: StdMutex<PoisonTable>,
}

impl PoisonWatch {
    /// Makes a watch that suspects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    fn table(&self) -> MutexGuard<'_, PoisonTable> {
        self.table.lock().expect("no holder of the table's lock panics")
    }

    fn place(&self, target: &TargetName) -> Arc<Mutex<()>> {
        let mut places = self.places.lock().expect("no holder of the places' lock panics");
        places.retain(|_, place| Arc::strong_count(place) > 1);
        Arc::clone(places.entry(target.clone()).or_default())
    }

    /// Tells whether a request is refused.
    pub fn refuses(&self, print: Fingerprint) -> bool {
        self.table().is_poison(print, Instant::now())
    }

    /// Waits until a suspect may run on a target; a request that isn't suspect need not wait.
    ///
    /// # Errors
    ///
    /// Where the place didn't come free in time.
    pub async fn wait_alone(
        &self,
        print: Fingerprint,
        target: &TargetName,
        until: Instant,
    ) -> Result<Option<Alone>, tokio::time::error::Elapsed> {
        if self.table().strikes(print, Instant::now()) == 0 {
            return Ok(None);
        }
        let place = timeout_at(until, self.place(target).lock_owned()).await?;
        Ok(Some(Alone { _place: place }))
    }

    /// Notes that a target ended while it ran a request; `alone` says that it ran as a suspect.
    pub fn blame(&self, print: Fingerprint, target: &TargetName, alone: bool) {
        let suspect_runs = !alone && self.place(target).try_lock().is_err();
        if !suspect_runs && self.table().strike(print, target, Instant::now()) {
            self.changed.notify_one();
        }
    }

    /// Takes what a peer knows, to be told on where it is news.
    pub fn hear(&self, suspects: &[Suspect]) {
        let now = Instant::now();
        let mut table = self.table();
        let news = suspects.iter().filter(|suspect| table.merge(suspect, now)).count();
        drop(table);
        if news > 0 {
            self.changed.notify_one();
        }
    }

    /// The newest suspects, for peers and operators.
    pub fn newest(&self) -> Vec<Suspect> {
        self.table().newest(Instant::now())
    }

    /// Waits until the table has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
