//! Storage of the stand-in for the platform: objects and the list of VMs.

use adapters::{PlatformBatch, PlatformObjectBody, PlatformVmBody};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

#[derive(Clone, Debug)]
struct Version {
    at: Instant,
    object: PlatformObjectBody,
}

/// Counter of calls in a window of one second.
#[derive(Debug)]
struct RateWindow {
    calls: u64,
    start: Instant,
}

impl Default for RateWindow {
    fn default() -> Self {
        Self { calls: 0, start: Instant::now() }
    }
}

impl RateWindow {
    fn admit(&mut self, rate: u64) -> bool {
        if self.start.elapsed() >= Duration::from_secs(1) {
            *self = Self::default();
        }
        self.calls += 1;
        self.calls <= rate
    }
}

/// All versions of all objects and of the list of VMs.
#[derive(Debug, Default)]
pub(super) struct PlatformStore {
    pub(super) calls: BTreeMap<&'static str, u64>,
    objects: BTreeMap<String, Vec<Version>>,
    reads: RateWindow,
    pub(super) revision: u64,
    vms: Vec<(Instant, Vec<PlatformVmBody>)>,
    writes: RateWindow,
}

impl PlatformStore {
    pub(super) fn admit_read(&mut self, rate: u64) -> bool {
        self.reads.admit(rate)
    }

    pub(super) fn admit_write(&mut self, rate: u64) -> bool {
        self.writes.admit(rate)
    }

    /// Returns the object as it was `lag` ago, or `None` if it didn't exist or was deleted.
    pub(super) fn current(&self, path: &str, lag: Duration) -> Option<&PlatformObjectBody> {
        let versions = self.objects.get(path)?.iter();
        let visible = versions.rev().find(|version| version.at.elapsed() >= lag)?;
        Some(&visible.object).filter(|object| object.value.is_some())
    }

    /// Returns the objects that changed after a revision, as they were `lag` ago.
    pub(super) fn changes(&self, prefix: &str, after: u64, lag: Duration) -> PlatformBatch {
        let candidates = self.objects.range(prefix.to_owned()..);
        let objects: Vec<_> = candidates
            .take_while(|(path, _)| path.starts_with(prefix))
            .filter_map(|(_, versions)| versions.iter().rev().find(|v| v.at.elapsed() >= lag))
            .filter(|version| version.object.version > after)
            .map(|version| version.object.clone())
            .collect();
        let visible = objects.iter().map(|object| object.version).max();
        let revision = if lag.is_zero() { self.revision } else { visible.unwrap_or(after) };
        PlatformBatch { objects, revision }
    }

    pub(super) fn history(&self, path: &str) -> PlatformBatch {
        let versions = self.objects.get(path).into_iter().flatten().rev();
        let objects = versions.map(|version| version.object.clone()).collect();
        PlatformBatch { objects, revision: self.revision }
    }

    pub(super) fn put(&mut self, path: &str, value: Option<&str>, author: &str) -> u64 {
        self.revision += 1;
        let object = PlatformObjectBody {
            author: author.to_owned(),
            path: path.to_owned(),
            time: String::new(),
            value: value.map(str::to_owned),
            version: self.revision,
        };
        let version = Version { at: Instant::now(), object };
        self.objects.entry(path.to_owned()).or_default().push(version);
        self.revision
    }

    /// Rolls back to the state at a revision, like a store that is restored from a backup.
    pub(super) fn roll_back(&mut self, revision: u64) {
        self.revision = revision;
        for versions in self.objects.values_mut() {
            versions.retain(|version| version.object.version <= revision);
        }
        self.objects.retain(|_, versions| !versions.is_empty());
    }

    pub(super) fn set_vms(&mut self, vms: Vec<PlatformVmBody>) {
        self.vms.push((Instant::now(), vms));
    }

    /// Returns the list of VMs as it was `lag` ago.
    pub(super) fn vms(&self, lag: Duration) -> &[PlatformVmBody] {
        let visible = self.vms.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        visible.map(|(_, vms)| vms.as_slice()).unwrap_or_default()
    }
}
