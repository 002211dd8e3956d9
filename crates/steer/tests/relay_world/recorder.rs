//! What a simulated VM knows of a kind whose only object is its revision.

use super::TARGETS;
use async_trait::async_trait;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{
    Change, Changes, Follower, Listing, ObjectBatch, ObjectSource, Registry, RegistryError,
    RelayedSource, Router,
};
use tokio::time::Instant;

/// A registry whose object is its revision.
#[derive(Debug)]
pub(crate) struct KindRegistry {
    pub(crate) kind: &'static str,
    pub(crate) source: RelayedSource,
}

fn read_batch(batch: &ObjectBatch) -> Option<u64> {
    batch.objects.iter().filter_map(|object| object.text.parse().ok()).max()
}

#[async_trait]
impl Registry<u64> for KindRegistry {
    async fn list(&self) -> Result<Listing<u64>, RegistryError> {
        let batch = self.source.list(self.kind).await?;
        let items = read_batch(&batch).map(|value| ("main".into(), value)).into_iter().collect();
        let (relayed, revision) = (batch.relayed, batch.revision);
        Ok(Listing { items, relayed, revision, unreadable: BTreeMap::new() })
    }

    async fn watch(&self, revision: u64, wait: Duration) -> Result<Changes<u64>, RegistryError> {
        let batch = self.source.watch(self.kind, revision, wait).await?;
        let changes = read_batch(&batch).map(|value| Change::Put("main".into(), value));
        let changes = changes.into_iter().collect();
        Ok(Changes { changes, relayed: batch.relayed, revision: batch.revision })
    }

    async fn wait_news(&self) {
        self.source.wait_news(self.kind).await;
    }
}

/// Records when a VM first knew each value, and tells the router of losses of the store.
#[derive(Debug)]
pub(crate) struct Recorder {
    kind: &'static str,
    known: Mutex<BTreeMap<u64, Instant>>,
    router: Arc<Router>,
}

impl Recorder {
    pub(crate) fn new(kind: &'static str, router: Arc<Router>) -> Self {
        Self { kind, known: Mutex::default(), router }
    }

    /// Returns when the VM first knew a value or a later one.
    pub(crate) fn known_since(&self, value: u64) -> Option<Instant> {
        let known = self.known.lock().unwrap();
        known.range(value..).map(|(_, at)| *at).min()
    }
}

impl Follower<u64> for Recorder {
    fn apply(&self, change: Change<u64>) {
        if let Change::Put(_, value) = change {
            self.known.lock().unwrap().entry(value).or_insert_with(Instant::now);
        }
    }

    fn name(&self) -> &'static str {
        self.kind
    }

    fn on_store_lost(&self) {
        if self.kind == TARGETS {
            self.router.fleet().record_outdated();
        }
    }

    fn on_store_recovered(&self) {
        if self.kind == TARGETS {
            self.router.fleet().record_current();
        }
    }

    fn replace(&self, listing: Listing<u64>) {
        listing.items.into_iter().for_each(|(name, value)| self.apply(Change::Put(name, value)));
    }
}
