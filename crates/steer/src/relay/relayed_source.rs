//! Source of objects that reads the store or the updates that other VMs relay.

use super::{ObjectCache, RelayTiming, StoreGate, store_caller::StoreCaller};
use crate::{ObjectBatch, ObjectSource, RegistryError, RelayRole, Router};
use async_trait::async_trait;
use std::{
    fmt::{self, Debug, Formatter},
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
    /// Whether this VM was a reader of the store at the last call.
    as_reader: AtomicBool,
    cache: Arc<ObjectCache>,
    /// Revision whose changes the store no longer has; zero if there is none.
    expired: AtomicU64,
    /// Whether the last update was relayed.
    relayed: AtomicBool,
    router: Arc<Router>,
    /// Time for which a VM that has just started waits for the objects from other VMs.
    start_wait: Duration,
    store: StoreCaller,
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
        let gate = Arc::new(StoreGate::new(&router.fleet().vm().name));
        let caller = StoreCaller { gate, router: Arc::clone(&router), store };
        Self {
            as_reader: AtomicBool::new(false),
            cache,
            expired: AtomicU64::new(0),
            relayed: AtomicBool::new(false),
            router,
            start_wait: Duration::ZERO,
            store: caller,
            timing,
        }
    }

    /// Sets the gate for calls to the store, which the sources of all kinds share.
    pub fn with_gate(mut self, gate: Arc<StoreGate>) -> Self {
        self.store.gate = gate;
        self
    }

    /// Sets the time for which the first list is awaited from other VMs.
    pub fn with_start_wait(mut self, wait: Duration) -> Self {
        self.start_wait = wait;
        self
    }

    /// Returns the position of this VM in the relay tree, and applies its limits to a kind.
    fn follow(&self, kind: &str) -> RelayRole {
        let role = self.router.fleet().role();
        self.cache.follow(kind, self.timing.max_age(role));
        self.as_reader.store(role == RelayRole::Reader, Ordering::Relaxed);
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
        let may_retry = fleet.is_store_lost() && fleet.may_read_store();
        if !may_retry || !self.store.gate.try_retry(Instant::now()) {
            return;
        }
        let store = self.store.clone();
        tokio::spawn(async move {
            // Only whether the store answers matters, which the call records.
            let _ = store.watch(kind, revision, Duration::ZERO).await;
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
        let result = self.store.watch(kind, revision, wait).await;
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
        let (fleet, gate) = (self.router.fleet(), &self.store.gate);
        // A VM that may read the store for others finds out by itself whether it reaches it.
        let is_lost = !fleet.may_read_store() && fleet.upstreams_lost_store();
        if !gate.try_acquire(Instant::now(), is_lost) {
            let reason = "calls are held back after failures".to_owned();
            return Err(RegistryError::Lost { reason });
        }
        let result = self.watch_store(kind, revision, wait).await;
        if gate.is_lost() { result.map_err(to_lost) } else { result }
    }

    /// Returns the revision from which on relayed objects need not be listed again at once.
    fn usable_after(&self) -> u64 {
        self.expired.load(Ordering::Relaxed)
    }

    /// Waits until this VM becomes a reader, or is no longer one.
    async fn wait_role(&self) {
        let mut changes = self.router.fleet().tree_changes();
        let as_reader = self.as_reader.load(Ordering::Relaxed);
        while (self.router.fleet().role() == RelayRole::Reader) == as_reader {
            // The channel can't be closed, as the router holds the sender.
            let _ = changes.changed().await;
        }
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
        let is_reader = self.follow(kind) == RelayRole::Reader;
        let relayed = || {
            let all = self.cache.all(kind).filter(|all| all.revision > self.usable_after());
            all.filter(|_| !is_reader)
        };
        if let Some(all) = relayed() {
            return Ok(all);
        }
        let all = tokio::select! {
            biased;
            all = self.store.list(kind) => all?,
            () = self.cache.wait_relayed(kind, self.usable_after()), if !is_reader => {
                let reason = "relayed objects became stale".to_owned();
                return relayed().ok_or(RegistryError::Unavailable { reason });
            }
        };
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
            let relayed = tokio::select! {
                biased;
                relayed = self.cache.watch(kind, revision, until) => relayed,
                () = self.wait_role() => continue,
            };
            if let Some(batch) = relayed {
                self.relayed.store(true, Ordering::Relaxed);
                self.store.gate.reset();
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
        let is_reader = self.as_reader.load(Ordering::Relaxed);
        tokio::select! {
            biased;
            () = self.wait_role() => {}
            // A reader calls the store, whatever other VMs relay.
            () = self.cache.wait_relayed(kind, self.usable_after()), if !is_reader => {}
            () = self.store.gate.wait_open(), if !is_reader => {}
        }
    }
}

impl Debug for RelayedSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayedSource").field("timing", &self.timing).finish_non_exhaustive()
    }
}
