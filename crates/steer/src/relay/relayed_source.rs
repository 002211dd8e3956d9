//! One kind of the store's objects, read from the store or as a delegate passes them on.

use super::NewsBoard;
use crate::{ObjectSource, RawNews, RegistryError, Router};
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

/// How long news of a kind may lag where VMs pass them on.
#[derive(Clone, Copy, Debug)]
pub struct RelayPace {
    /// Age up to which knowledge is relied on: the wait of a delegate's call, that of a peer's,
    /// and the round trips.
    pub fresh: Duration,
    /// Longest wait of a delegate's call to the store.
    pub wait: Duration,
}

/// Reads the store where this VM is a delegate of its region, or where no delegate has passed on
/// anything fresh; else waits for what they pass on.
pub struct RelayedSource {
    board: Arc<NewsBoard>,
    pace: RelayPace,
    /// The last news came from a delegate.
    relayed: AtomicBool,
    router: Arc<Router>,
    store: Arc<dyn ObjectSource>,
}

impl RelayedSource {
    /// Reads a store, or a board that peers fill.
    pub fn new(
        router: Arc<Router>,
        board: Arc<NewsBoard>,
        pace: RelayPace,
        store: Arc<dyn ObjectSource>,
    ) -> Self {
        Self { board, pace, relayed: AtomicBool::new(false), router, store }
    }

    /// Counts an answer of the store.
    fn count(&self, answer: Result<RawNews, RegistryError>) -> Result<RawNews, RegistryError> {
        let meter = &self.router.ports().meter;
        meter.count("store.calls", 1);
        if answer.is_err() {
            meter.count("store.failed", 1);
        }
        answer
    }

    async fn watch_store(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<RawNews, RegistryError> {
        let passes_on = self.router.fleet().has_delegates();
        let wait = if passes_on { wait.min(self.pace.wait) } else { wait };
        let news = self.count(self.store.watch(kind, revision, wait).await)?;
        self.board.extend(kind, revision, news.clone(), Instant::now());
        Ok(news)
    }
}

/// A failure of the store where no delegate has fresh news either.
fn to_lost(error: RegistryError) -> RegistryError {
    match error {
        RegistryError::Unavailable { reason } => RegistryError::Lost { reason },
        other => other,
    }
}

#[async_trait]
impl ObjectSource for RelayedSource {
    async fn list(&self, kind: &'static str) -> Result<RawNews, RegistryError> {
        if !self.router.fleet().reads_store()
            && let Some(all) = self.board.all(kind)
        {
            return Ok(all);
        }
        let all = self.count(self.store.list(kind).await)?;
        self.board.replace(kind, all.clone(), self.pace.fresh, Instant::now());
        Ok(all)
    }

    async fn watch(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<RawNews, RegistryError> {
        let until = Instant::now() + wait;
        loop {
            if self.router.fleet().reads_store() {
                return self.watch_store(kind, revision, wait).await;
            }
            if let Some(news) = self.board.watch(kind, revision, until).await {
                self.relayed.store(true, Ordering::Relaxed);
                return news.ok_or(RegistryError::Expired);
            }
            // Delegates that have just fallen silent may have lost the store: it is asked for an
            // answer at once.
            let fallen = self.relayed.swap(false, Ordering::Relaxed);
            let wait = if fallen { Duration::ZERO } else { wait };
            tokio::select! {
                news = self.watch_store(kind, revision, wait) => return news.map_err(to_lost),
                () = self.board.wait_fresh(kind) => {}
            }
        }
    }
}

impl Debug for RelayedSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayedSource").field("pace", &self.pace).finish_non_exhaustive()
    }
}
