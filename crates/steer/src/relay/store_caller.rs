//! Calls the store and records whether it answers this VM.

use super::StoreGate;
use crate::{ObjectBatch, ObjectSource, RegistryError, Router};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Calls the store for a source, counts the calls, and tells other VMs when the store stops or begins
/// to answer this one.
#[derive(Clone, Debug)]
pub(super) struct StoreCaller {
    pub(super) gate: Arc<StoreGate>,
    pub(super) router: Arc<Router>,
    pub(super) store: Arc<dyn ObjectSource>,
}

impl StoreCaller {
    pub(super) async fn list(&self, kind: &'static str) -> Result<ObjectBatch, RegistryError> {
        self.record(kind, self.store.list(kind)).await
    }

    pub(super) async fn watch(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError> {
        self.record(kind, self.store.watch(kind, revision, wait)).await
    }

    async fn record(
        &self,
        kind: &str,
        call: impl Future<Output = Result<ObjectBatch, RegistryError>>,
    ) -> Result<ObjectBatch, RegistryError> {
        let (router, begun) = (&self.router, Instant::now());
        let result = call.await;
        router.ports().meter.count("store.calls", 1);
        let error = match &result {
            Ok(batch) => {
                for _ in 0..batch.unnamed {
                    router.record_unreadable(kind, "", "it has no usable name");
                }
                None
            }
            Err(RegistryError::Expired) => None,
            Err(error) => Some(error),
        };
        let is_lost = self.gate.record(begun, Instant::now(), error.is_none());
        let was_lost = router.fleet().is_store_lost();
        match error {
            None if was_lost => {
                info!(router.log(), "store: reached again"; "registry" => kind);
                router.fleet().set_store_lost(false);
            }
            None => {}
            Some(error) => {
                router.ports().meter.count("store.failed", 1);
                if is_lost && !was_lost {
                    warn!(router.log(), "store: out of reach"; "registry" => kind,
                        "error" => %error);
                    router.fleet().set_store_lost(true);
                }
            }
        }
        result
    }
}
