//! Source of objects that reads the store or the updates that other VMs relay.

use super::{ObjectCache, RelayTiming, StoreGate};
use crate::{ObjectBatch, ObjectSource, RegistryError, RelayRole, Router};
use async_trait::async_trait;
use slog::info;
use std::{
    fmt::{self, Debug, Formatter},
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// Reads the store if this VM is its reader or the relayed objects are not fresh; otherwise waits for
/// the updates of other VMs.
pub struct RelayedSource {
    cache: Arc<ObjectCache>,
    /// Revision whose changes the store no longer has; zero if there is none.
    expired: AtomicU64,
    gate: Arc<StoreGate>,
    /// Whether the last update was relayed.
    relayed: AtomicBool,
    router: Arc<Router>,
    /// Time for which a VM that has just started waits for the objects from other VMs.
    start_wait: Duration,
    store: Arc<dyn ObjectSource>,
    timing: RelayTiming,
}

impl RelayedSource {
    /// Time for which a VM that has just started waits for other VMs. It covers the start of all VMs
    /// at one moment, in which the objects pass down the whole tree.
    pub const START_WAIT: Duration = Duration::from_millis(2_500);

    /// Creates a source that reads a store, or a cache that is filled from peers.
    pub fn new(
        router: Arc<Router>,
        cache: Arc<ObjectCache>,
        timing: RelayTiming,
        store: Arc<dyn ObjectSource>,
    ) -> Self {
        let (expired, relayed) = (AtomicU64::new(0), AtomicBool::new(false));
        let start_wait = Duration::ZERO;
        let gate = Arc::new(StoreGate::new(&router.fleet().vm().name));
        Self { cache, expired, gate, relayed, router, start_wait, store, timing }
    }

    /// Sets the gate for calls to the store, which the sources of all kinds share.
    pub fn with_gate(mut self, gate: Arc<StoreGate>) -> Self {
        self.gate = gate;
        self
    }

    /// Sets the time for which the first list is awaited from other VMs.
    pub fn with_start_wait(mut self, wait: Duration) -> Self {
        self.start_wait = wait;
        self
    }

    /// Counts a call to the store, its failure, and objects without a usable name.
    fn count_call(
        &self,
        kind: &str,
        result: Result<ObjectBatch, RegistryError>,
    ) -> Result<ObjectBatch, RegistryError> {
        let meter = &self.router.ports().meter;
        meter.count("store.calls", 1);
        match &result {
            Ok(batch) => {
                for _ in 0..batch.unnamed {
                    self.router.record_unreadable(kind, "", "it has no usable name");
                }
            }
            Err(_) => meter.count("store.failed", 1),
        }
        result
    }

    /// Returns the position of this VM in the relay tree, and applies its limits to a kind.
    fn follow(&self, kind: &str) -> RelayRole {
        let role = self.router.fleet().role();
        self.cache.follow(kind, self.timing.max_age(role));
        role
    }

    /// Waits for the first list of a kind from other VMs, unless this VM turns out to be the reader.
    async fn wait_for_peers(&self, kind: &str) {
        let learn_role = async {
            self.router.fleet().wait_registry_read().await;
            while self.follow(kind) != RelayRole::Reader {
                sleep(Self::ROLE_PERIOD).await;
            }
        };
        let wait = async {
            tokio::select! {
                biased;
                () = learn_role => {}
                () = self.cache.wait_fresh(kind) => {}
            }
        };
        // After a timeout the store is read.
        let _ = timeout(self.start_wait, wait).await;
    }

    /// Interval at which a VM that waits for its first list checks its position in the tree.
    const ROLE_PERIOD: Duration = Duration::from_millis(100);

    /// Calls the store from time to time if this VM lost it and might read it for others.
    fn retry_store(&self, kind: &'static str, revision: u64) {
        let fleet = self.router.fleet();
        let may_read = fleet.role() != RelayRole::Member;
        if !may_read || !fleet.is_store_lost() || !self.gate.try_retry(Instant::now()) {
            return;
        }
        let (router, store) = (Arc::clone(&self.router), Arc::clone(&self.store));
        tokio::spawn(async move {
            router.ports().meter.count("store.calls", 1);
            match store.watch(kind, revision, Duration::ZERO).await {
                Ok(_) | Err(RegistryError::Expired) => {
                    router.fleet().record_store_recovered(false);
                    info!(router.log(), "store: reached again"; "registry" => kind);
                }
                Err(_) => router.ports().meter.count("store.failed", 1),
            }
        });
    }

    async fn watch_store(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError> {
        let has_delegates = self.router.fleet().has_delegates();
        let wait = if has_delegates { wait.min(self.timing.wait) } else { wait };
        let result = self.count_call(kind, self.store.watch(kind, revision, wait).await);
        if matches!(&result, Err(RegistryError::Expired)) {
            self.expired.store(revision, Ordering::Relaxed);
        }
        let batch = result?;
        self.cache.extend(kind, revision, batch.clone(), Instant::now());
        Ok(batch)
    }

    /// Reads the store in place of the VMs above, if that has a prospect of success.
    async fn replace_upstreams(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError> {
        let is_lost = self.router.fleet().upstreams_lost_store();
        if !self.gate.try_acquire(Instant::now(), is_lost) {
            let reason = "calls are held back after failures".to_owned();
            return Err(RegistryError::Lost { reason });
        }
        let begun = Instant::now();
        let result = self.watch_store(kind, revision, wait).await;
        let is_answer = matches!(&result, Ok(_) | Err(RegistryError::Expired));
        let is_lost = self.gate.record(begun, Instant::now(), is_answer);
        if is_lost { result.map_err(to_lost) } else { result }
    }
}

/// Turns a failure of the store into `Lost`, for use when no other VM has fresh objects either.
fn to_lost(error: RegistryError) -> RegistryError {
    match error {
        RegistryError::Unavailable { reason } => RegistryError::Lost { reason },
        other => other,
    }
}

#[async_trait]
impl ObjectSource for RelayedSource {
    async fn list(&self, kind: &'static str) -> Result<ObjectBatch, RegistryError> {
        self.follow(kind);
        // A VM that has had the objects has turned to the store because the VMs above are late.
        if !self.cache.has(kind) {
            self.wait_for_peers(kind).await;
        }
        // Objects at an expired revision would have to be listed again at once.
        let is_usable = |all: &ObjectBatch| all.revision > self.expired.load(Ordering::Relaxed);
        if self.follow(kind) != RelayRole::Reader
            && let Some(all) = self.cache.all(kind).filter(is_usable)
        {
            return Ok(all);
        }
        let all = self.count_call(kind, self.store.list(kind).await)?;
        let max_age = self.timing.max_age(self.router.fleet().role());
        self.cache.replace(kind, all.clone(), max_age, Instant::now());
        Ok(all)
    }

    async fn watch(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError> {
        let until = Instant::now() + wait;
        loop {
            if self.follow(kind) == RelayRole::Reader {
                return self.watch_store(kind, revision, wait).await;
            }
            self.retry_store(kind, revision);
            if let Some(batch) = self.cache.watch(kind, revision, until).await {
                self.relayed.store(true, Ordering::Relaxed);
                self.gate.reset();
                return batch.ok_or(RegistryError::Expired);
            }
            // If updates have just stopped, the store may have failed for the other VMs: poll it
            // without a wait to detect that immediately.
            let stopped = self.relayed.swap(false, Ordering::Relaxed);
            let wait = if stopped { Duration::ZERO } else { wait };
            tokio::select! {
                biased;
                batch = self.replace_upstreams(kind, revision, wait) => return batch,
                () = self.cache.wait_relayed(kind, 0) => {}
            }
        }
    }

    async fn wait_news(&self, kind: &'static str) {
        // A reader calls the store, whatever other VMs relay.
        if self.router.fleet().role() == RelayRole::Reader {
            pending::<()>().await;
        }
        self.cache.wait_relayed(kind, self.expired.load(Ordering::Relaxed)).await;
    }
}

impl Debug for RelayedSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayedSource").field("timing", &self.timing).finish_non_exhaustive()
    }
}
