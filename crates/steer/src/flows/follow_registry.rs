//! Follows a registry of the store for the life of the process.

use super::{Backoff, FollowTiming};
use crate::{Change, Listing, Registry, RegistryError};
use slog::{Logger, info, warn};
use std::{fmt::Debug, mem, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

/// Consecutive failed calls after which the store counts as lost. One is not enough, as a watch may
/// be interrupted at any time. A call that reached neither peers nor the store counts as this
/// number of failed calls.
const FAILURES_UNTIL_LOST: u32 = 2;

/// Receives the contents and changes of a registry.
pub trait Follower<T>: Debug + Send + Sync {
    /// Applies one change.
    fn apply(&self, change: Change<T>);
    /// Time by which `run_due` must be called next, if any.
    fn next_deadline(&self) -> Option<Instant> {
        None
    }
    /// Called when the store is lost.
    fn on_store_lost(&self) {}
    /// Name of the registry in logs.
    fn name(&self) -> &'static str;
    /// Called when the store answers again after it was lost, or another VM relays what it says.
    fn on_store_recovered(&self) {}
    /// Replaces all objects.
    fn replace(&self, listing: Listing<T>);
    /// Called before each call and after each answer of the store, and when `next_deadline` has passed.
    fn run_due(&self) {}
}

/// Counts the store's recoveries, so that the first flow to notice one wakes the others.
#[derive(Clone, Debug)]
pub struct StoreRecoveries(watch::Sender<u64>);

impl StoreRecoveries {
    /// Creates a counter at zero.
    ///
    /// ```
    /// assert!(format!("{:?}", steer::StoreRecoveries::new()).contains("StoreRecoveries"));
    /// ```
    pub fn new() -> Self {
        Self(watch::Sender::new(0))
    }
}

impl Default for StoreRecoveries {
    fn default() -> Self {
        Self::new()
    }
}

/// Lists a registry, then follows its changes; lists it again when the history has expired.
pub async fn follow_registry<T: Send>(
    registry: Arc<dyn Registry<T>>,
    follower: Arc<dyn Follower<T>>,
    timing: FollowTiming,
    recoveries: StoreRecoveries,
    log: Logger,
) {
    let mut state = FollowState {
        backoff: Backoff::new(follower.name()),
        answered: Instant::now(),
        failures: 0,
        follower,
        log,
        timing,
        recovered: recoveries.0.subscribe(),
        registry,
        recoveries,
    };
    loop {
        let revision = state.list().await;
        state.watch(revision).await;
    }
}

struct FollowState<T> {
    /// When the store last answered.
    answered: Instant,
    backoff: Backoff,
    failures: u32,
    follower: Arc<dyn Follower<T>>,
    log: Logger,
    timing: FollowTiming,
    /// Recoveries that other flows notice after the last call began.
    recovered: watch::Receiver<u64>,
    registry: Arc<dyn Registry<T>>,
    recoveries: StoreRecoveries,
}

impl<T: Send> FollowState<T> {
    /// Calls the store until it answers with a listing, and returns the listing's revision.
    async fn list(&mut self) -> u64 {
        loop {
            self.recovered.mark_unchanged();
            match self.registry.list().await {
                Ok(listing) => {
                    self.record_answer(listing.relayed);
                    let revision = listing.revision;
                    info!(self.log, "store: listed"; "registry" => self.follower.name(),
                        "objects" => listing.items.len(), "revision" => revision);
                    self.follower.replace(listing);
                    self.follower.run_due();
                    return revision;
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// Applies changes until the store no longer has the history since the last revision.
    async fn watch(&mut self, mut revision: u64) {
        loop {
            let started = Instant::now();
            self.recovered.mark_unchanged();
            // What is due already would cancel the call.
            self.follower.run_due();
            let deadline = self.follower.next_deadline();
            // After a failure, poll without a wait to detect the store's recovery early.
            let wait = if self.failures == 0 { self.timing.wait } else { Duration::ZERO };
            let answer = tokio::select! {
                biased;
                answer = self.registry.watch(revision, wait) => answer,
                () = sleep_until(deadline.unwrap_or(started)), if deadline.is_some() => {
                    self.follower.run_due();
                    continue;
                }
                _ = self.recovered.changed() => continue,
            };
            match answer {
                Ok(changes) => {
                    self.record_answer(changes.relayed);
                    revision = changes.revision;
                    for change in changes.changes {
                        self.follower.apply(change);
                    }
                    self.follower.run_due();
                    if !changes.relayed {
                        sleep_until(started + self.timing.period).await;
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

    fn record_answer(&mut self, relayed: bool) {
        self.backoff.reset();
        let silent = mem::replace(&mut self.answered, Instant::now()).elapsed();
        let failures = mem::take(&mut self.failures);
        if failures == 0 {
            return;
        }
        info!(self.log, "store: answers again"; "registry" => self.follower.name(),
            "failures" => failures, "silent_ms" => silent.as_millis() as u64, "relayed" => relayed);
        if failures >= FAILURES_UNTIL_LOST {
            self.follower.on_store_recovered();
        }
        // Other flows may be in a pause or wait for a call that was lost; wake them to call again.
        self.recoveries.0.send_modify(|count| *count += 1);
    }

    async fn pause(&mut self, error: &RegistryError) {
        let before = self.failures;
        let lost = matches!(error, RegistryError::Lost { .. });
        self.failures += if lost { FAILURES_UNTIL_LOST } else { 1 };
        if before < FAILURES_UNTIL_LOST && self.failures >= FAILURES_UNTIL_LOST {
            warn!(self.log, "store: lost"; "registry" => self.follower.name(), "error" => %error);
            self.follower.on_store_lost();
        }
        tokio::select! {
            biased;
            () = sleep(self.backoff.next_pause().min(self.timing.pause)) => {}
            _ = self.recovered.changed() => {}
            () = self.registry.wait_news() => {}
        }
    }
}
