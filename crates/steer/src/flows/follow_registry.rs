//! Follows a registry of the store for as long as the process lives.

use super::Backoff;
use crate::{Change, Listing, Registry, RegistryError};
use slog::{Logger, info, warn};
use std::{fmt::Debug, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

/// Failed calls in a row after which the store counts as lost; a watch may be cut at any time. A
/// call that found neither peers nor the store counts for all of them.
const MOST_FAILURES: u32 = 2;

/// Takes what a registry holds.
pub trait Follower<T>: Debug + Send + Sync {
    /// Takes one change.
    fn apply(&self, change: Change<T>);
    /// When `settle` is due, at the latest.
    fn due(&self) -> Option<Instant> {
        None
    }
    /// Notes that the store does not answer.
    fn lose(&self) {}
    /// Name of the registry in logs.
    fn name(&self) -> &'static str;
    /// Notes that the store answers again.
    fn regain(&self) {}
    /// Takes all objects.
    fn replace(&self, listing: Listing<T>);
    /// Called after each answer of the store, and when it is due.
    fn settle(&self) {}
}

/// How often a registry is read.
#[derive(Clone, Copy, Debug)]
pub struct FollowPace {
    /// Longest pause between two calls while the store fails; another flow that reaches it ends
    /// the pause.
    pub pause: Duration,
    /// Least time from one call to the store to the next.
    pub period: Duration,
    /// Longest time that a call waits for a change.
    pub wait: Duration,
}

/// Counts how often the store came back, so that one flow that notices wakes the others.
#[derive(Clone, Debug)]
pub struct StoreReturns(watch::Sender<u64>);

impl StoreReturns {
    /// Starts at none.
    ///
    /// ```
    /// assert!(format!("{:?}", steer::StoreReturns::new()).contains("StoreReturns"));
    /// ```
    pub fn new() -> Self {
        Self(watch::Sender::new(0))
    }
}

impl Default for StoreReturns {
    fn default() -> Self {
        Self::new()
    }
}

/// Lists a registry, then follows its changes; lists again where the history is gone.
pub async fn follow_registry<T: Send>(
    registry: Arc<dyn Registry<T>>,
    follower: Arc<dyn Follower<T>>,
    pace: FollowPace,
    returns: StoreReturns,
    log: Logger,
) {
    let mut follow = Follow {
        backoff: Backoff::new(follower.name()),
        failures: 0,
        follower,
        log,
        pace,
        registry,
        returns,
    };
    loop {
        let revision = follow.list().await;
        follow.watch(revision).await;
    }
}

struct Follow<T> {
    backoff: Backoff,
    failures: u32,
    follower: Arc<dyn Follower<T>>,
    log: Logger,
    pace: FollowPace,
    registry: Arc<dyn Registry<T>>,
    returns: StoreReturns,
}

impl<T: Send> Follow<T> {
    /// Lists until the store answers, and gives the revision.
    async fn list(&mut self) -> u64 {
        loop {
            match self.registry.list().await {
                Ok(listing) => {
                    self.note_answer();
                    let revision = listing.revision;
                    info!(self.log, "store: listed"; "registry" => self.follower.name(),
                        "objects" => listing.items.len(), "revision" => revision);
                    self.follower.replace(listing);
                    self.follower.settle();
                    return revision;
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// Follows changes until the history is gone.
    async fn watch(&mut self, mut revision: u64) {
        loop {
            let started = Instant::now();
            let mut returned = self.returns.0.subscribe();
            let due = self.follower.due();
            // A store that has failed is asked for an answer at once, to see soon that it is back.
            let wait = if self.failures == 0 { self.pace.wait } else { Duration::ZERO };
            let answer = tokio::select! {
                answer = self.registry.watch(revision, wait) => answer,
                () = sleep_until(due.unwrap_or(started)), if due.is_some() => {
                    self.follower.settle();
                    continue;
                }
                _ = returned.changed() => continue,
            };
            match answer {
                Ok(changes) => {
                    self.note_answer();
                    revision = changes.revision;
                    for change in changes.changes {
                        self.follower.apply(change);
                    }
                    self.follower.settle();
                    if !changes.relayed {
                        sleep_until(started + self.pace.period).await;
                    }
                }
                Err(RegistryError::Expired) => {
                    info!(self.log, "store: history gone"; "registry" => self.follower.name(),
                        "revision" => revision);
                    return;
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    fn note_answer(&mut self) {
        self.backoff.reset();
        let failures = std::mem::take(&mut self.failures);
        if failures == 0 {
            return;
        }
        info!(self.log, "store: answers again"; "registry" => self.follower.name(),
            "failures" => failures);
        if failures >= MOST_FAILURES {
            self.follower.regain();
        }
        // Calls of other flows may have got lost as well.
        self.returns.0.send_modify(|count| *count += 1);
    }

    async fn pause(&mut self, error: &RegistryError) {
        let before = self.failures;
        let lost = matches!(error, RegistryError::Lost { .. });
        self.failures += if lost { MOST_FAILURES } else { 1 };
        if before < MOST_FAILURES && self.failures >= MOST_FAILURES {
            warn!(self.log, "store: lost"; "registry" => self.follower.name(), "error" => %error);
            self.follower.lose();
        }
        let mut returned = self.returns.0.subscribe();
        tokio::select! {
            () = sleep(self.backoff.fail().min(self.pace.pause)) => {}
            _ = returned.changed() => {}
        }
    }
}
