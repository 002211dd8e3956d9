//! Source of objects that reads the store or the updates that delegates relay.

use super::ObjectCache;
use crate::{ObjectBatch, ObjectSource, RegistryError, Router};
use async_trait::async_trait;
use std::{
    fmt::{self, Debug, Formatter},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Limits on the delay of relayed objects behind the store.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// Maximum age at which relayed objects are used. It covers the wait of a delegate's call to
    /// the store, the wait of a peer's call to the delegate, and the round trips.
    pub max_age: Duration,
    /// Maximum wait of a delegate's call to the store.
    pub wait: Duration,
}

/// Reads the store if this VM is a delegate of its region or the relayed objects are not fresh;
/// otherwise waits for the delegates' updates.
pub struct RelayedSource {
    cache: Arc<ObjectCache>,
    limits: RelayLimits,
    /// Whether the last update came from a delegate.
    relayed: AtomicBool,
    router: Arc<Router>,
    store: Arc<dyn ObjectSource>,
}

impl RelayedSource {
    /// Creates a source that reads a store, or a cache that is filled from peers.
    pub fn new(
        router: Arc<Router>,
        cache: Arc<ObjectCache>,
        limits: RelayLimits,
        store: Arc<dyn ObjectSource>,
    ) -> Self {
        Self { cache, limits, relayed: AtomicBool::new(false), router, store }
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

    async fn watch_store(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError> {
        let has_delegates = self.router.fleet().has_delegates();
        let wait = if has_delegates { wait.min(self.limits.wait) } else { wait };
        let batch = self.count_call(kind, self.store.watch(kind, revision, wait).await)?;
        self.cache.extend(kind, revision, batch.clone(), Instant::now());
        Ok(batch)
    }
}

/// Turns a failure of the store into `Lost`, for use when no delegate has fresh objects either.
fn to_lost(error: RegistryError) -> RegistryError {
    match error {
        RegistryError::Unavailable { reason } => RegistryError::Lost { reason },
        other => other,
    }
}

#[async_trait]
impl ObjectSource for RelayedSource {
    async fn list(&self, kind: &'static str) -> Result<ObjectBatch, RegistryError> {
        if !self.router.fleet().reads_store()
            && let Some(all) = self.cache.all(kind)
        {
            return Ok(all);
        }
        let all = self.count_call(kind, self.store.list(kind).await)?;
        self.cache.replace(kind, all.clone(), self.limits.max_age, Instant::now());
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
            if self.router.fleet().reads_store() {
                return self.watch_store(kind, revision, wait).await;
            }
            if let Some(batch) = self.cache.watch(kind, revision, until).await {
                self.relayed.store(true, Ordering::Relaxed);
                return batch.ok_or(RegistryError::Expired);
            }
            // If updates from the delegates have just stopped, the store may have failed for them:
            // poll it without a wait to detect that immediately.
            let stopped = self.relayed.swap(false, Ordering::Relaxed);
            let wait = if stopped { Duration::ZERO } else { wait };
            tokio::select! {
                batch = self.watch_store(kind, revision, wait) => return batch.map_err(to_lost),
                () = self.cache.wait_fresh(kind) => {}
            }
        }
    }
}

impl Debug for RelayedSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayedSource").field("limits", &self.limits).finish_non_exhaustive()
    }
}
