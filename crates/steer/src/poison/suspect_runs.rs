//! The targets on which suspects run.

use crate::{Fingerprint, TargetIncarnation, TargetName};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// A run of a suspect.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Number of targets that crashed while they ran the suspect before.
    count: usize,
    ended: Option<Instant>,
    fingerprint: Fingerprint,
}

/// The runs of suspects by target, with those that ended just now: the losses of the other requests
/// at a target that crashes are noticed shortly after.
#[derive(Debug, Default)]
pub(super) struct SuspectRuns {
    runs: Mutex<BTreeMap<TargetIncarnation, Vec<Run>>>,
}

/// Counts a run of a suspect until it is dropped.
#[derive(Debug)]
pub struct RunGuard {
    fingerprint: Fingerprint,
    runs: Arc<SuspectRuns>,
    target: TargetIncarnation,
}

impl SuspectRuns {
    /// Time after the end of a suspect's run for which losses at its target accuse no other request.
    const BLAME_TIME: Duration = Duration::from_secs(1);

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TargetIncarnation, Vec<Run>>> {
        let mut runs = self.runs.lock().expect("no holder of the runs' lock panics");
        let now = Instant::now();
        runs.retain(|_, runs| {
            let is_recent = |at: Instant| now.duration_since(at) < Self::BLAME_TIME;
            runs.retain(|run| run.ended.is_none_or(is_recent));
            !runs.is_empty()
        });
        runs
    }

    /// Counts a run of a suspect whose count of crashes is given.
    pub(super) fn begin(
        runs: &Arc<Self>,
        fingerprint: Fingerprint,
        target: TargetIncarnation,
        count: usize,
    ) -> RunGuard {
        let run = Run { count, ended: None, fingerprint };
        runs.lock().entry(target.clone()).or_default().push(run);
        RunGuard { fingerprint, runs: Arc::clone(runs), target }
    }

    /// Returns the targets on which other suspects run.
    pub(super) fn targets_of_others(&self, fingerprint: Fingerprint) -> BTreeSet<TargetName> {
        let runs = self.lock();
        let others = runs.iter().filter(|(_, runs)| {
            runs.iter().any(|run| run.ended.is_none() && run.fingerprint != fingerprint)
        });
        others.map(|(target, _)| target.name.clone()).collect()
    }

    /// Returns the highest count of crashes among the suspects that run on a target or ran there
    /// just now; zero if there are none.
    pub(super) fn highest_count(&self, target: &TargetIncarnation) -> usize {
        let runs = self.lock();
        runs.get(target).into_iter().flatten().map(|run| run.count).max().unwrap_or_default()
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut runs = self.runs.lock();
        let runs = runs.get_mut(&self.target).into_iter().flatten();
        let mut own = runs.filter(|run| run.ended.is_none() && run.fingerprint == self.fingerprint);
        if let Some(run) = own.next() {
            run.ended = Some(Instant::now());
        }
    }
}
