//! A VM's cache of the store's objects, read by its own flows and by its peers.

use super::{ChangeLog, Freshness, OfferedTexts};
use crate::{KindUpdate, LargeObject, ObjectBatch, PartQuery, UpdateQuery, UpdateReply};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

/// The latest objects of each kind that this VM read from the store or received from a peer.
#[derive(Debug, Default)]
pub struct ObjectCache {
    changed: watch::Sender<()>,
    logs: Mutex<BTreeMap<Arc<str>, ChangeLog>>,
    offered: Mutex<OfferedTexts>,
    /// Until when a kind counts as up to date because large objects of it are arriving.
    receiving: Mutex<BTreeMap<Arc<str>, Instant>>,
}

impl ObjectCache {
    /// Time after a part of a large object within which the next one is expected. It covers the
    /// timeout of a request to one delegate and the next part from another.
    pub const PART_GRACE: Duration = Duration::from_millis(1_500);

    /// Creates an empty cache.
    ///
    /// ```
    /// assert!(steer::ObjectCache::new().revisions().is_empty());
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, ChangeLog>> {
        self.logs.lock().expect("no holder of the logs' lock panics")
    }

    /// Replaces all objects of a kind, unless the cache holds a later revision.
    pub fn replace(&self, kind: &str, listing: ObjectBatch, max_age: Duration, read_at: Instant) {
        let mut logs = self.lock();
        if logs.get(kind).is_some_and(|log| log.revision() > listing.revision) {
            return;
        }
        logs.insert(kind.into(), ChangeLog::new(listing, max_age, read_at));
        drop(logs);
        self.changed.send_replace(());
    }

    /// Appends the changes of a kind since a revision.
    pub fn extend(&self, kind: &str, since: u64, batch: ObjectBatch, read_at: Instant) {
        if let Some(log) = self.lock().get_mut(kind) {
            log.extend(since, batch, read_at);
        }
        // Wake waiters even without changes, because the batch extends the time of freshness.
        self.changed.send_replace(());
    }

    /// Applies a peer's reply to a query.
    pub fn apply_reply(&self, query: &UpdateQuery, reply: UpdateReply) {
        let now = Instant::now();
        for (kind, KindUpdate { age, full, batch, .. }) in reply {
            let read_at = now.checked_sub(age).unwrap_or(now);
            let Some(since) = query.revisions.get(&kind) else { continue };
            let batch = batch.relayed();
            if !full {
                self.extend(&kind, *since, batch, read_at);
                continue;
            }
            let max_age = self.lock().get(&kind).map(ChangeLog::max_age);
            self.replace(&kind, batch, max_age.unwrap_or_default(), read_at);
        }
    }

    /// Returns the age and source of the objects of each kind.
    ///
    /// ```
    /// assert!(steer::ObjectCache::new().freshness().is_empty());
    /// ```
    pub fn freshness(&self) -> BTreeMap<Arc<str>, Freshness> {
        let (logs, now) = (self.lock(), Instant::now());
        logs.iter().map(|(kind, log)| (Arc::clone(kind), log.freshness(now))).collect()
    }

    /// Returns the latest revision of each kind.
    pub fn revisions(&self) -> BTreeMap<Arc<str>, u64> {
        let logs = self.lock();
        logs.iter().map(|(kind, log)| (Arc::clone(kind), log.revision())).collect()
    }

    /// Returns all objects of a kind if they are fresh.
    pub fn all(&self, kind: &str) -> Option<ObjectBatch> {
        let logs = self.lock();
        let log = logs.get(kind).filter(|log| log.fresh_until() > Instant::now())?;
        Some(log.all().relayed())
    }

    /// Waits for changes of a kind since a revision. Returns an empty batch if there are none until
    /// `until`, and `None` as soon as the objects are no longer fresh.
    ///
    /// The inner `None` means that changes since the revision have been discarded.
    pub async fn watch(
        &self,
        kind: &str,
        since: u64,
        until: Instant,
    ) -> Option<Option<ObjectBatch>> {
        let mut changed = self.changed.subscribe();
        loop {
            let now = Instant::now();
            let fresh_until = {
                let receiving = self.receiving_until(kind);
                let logs = self.lock();
                let log = logs.get(kind)?;
                let fresh_until =
                    receiving.map_or(log.fresh_until(), |at| at.max(log.fresh_until()));
                if fresh_until <= now {
                    return None;
                }
                match log.since(since) {
                    Some(batch) if batch.objects.is_empty() && now < until => {}
                    found => return Some(found.map(ObjectBatch::relayed)),
                }
                fresh_until
            };
            // The channel can't be closed, as `self` holds the sender.
            let _ = timeout_at(until.min(fresh_until), changed.changed()).await;
        }
    }

    /// Records that a part of a large object of a kind has arrived from a peer. While parts arrive,
    /// the kind isn't read from the store: that transfer would compete for the same link.
    pub fn record_part(&self, kind: &Arc<str>) {
        let mut receiving = self.receiving.lock().expect("no holder of the times' lock panics");
        receiving.insert(Arc::clone(kind), Instant::now() + Self::PART_GRACE);
    }

    fn receiving_until(&self, kind: &str) -> Option<Instant> {
        self.receiving.lock().expect("no holder of the times' lock panics").get(kind).copied()
    }

    /// Returns a part of a text that was offered to a peer, or of the current version of an object;
    /// `None` if this VM doesn't have the version.
    pub fn part(&self, query: &PartQuery) -> Option<String> {
        let offered = self.lock_offered().text(query.object.digest, Instant::now());
        let text = match offered {
            Some(text) => text,
            None => {
                let logs = self.lock();
                let text = logs.get(&query.kind)?.text(&query.object.name)?;
                if LargeObject::new(Arc::clone(&query.object.name), text) != query.object {
                    return None;
                }
                Arc::clone(text)
            }
        };
        let end = query.offset.checked_add(LargeObject::PART_SIZE)?.min(text.len());
        let end = (query.offset.min(end)..=end).rev().find(|end| text.is_char_boundary(*end))?;
        text.get(query.offset..end).map(str::to_owned)
    }

    fn lock_offered(&self) -> MutexGuard<'_, OfferedTexts> {
        self.offered.lock().expect("no holder of the texts' lock panics")
    }

    /// Waits until the objects of a kind are fresh.
    pub async fn wait_fresh(&self, kind: &str) {
        let mut changed = self.changed.subscribe();
        while self.all(kind).is_none() {
            // The channel can't be closed, as `self` holds the sender.
            let _ = changed.changed().await;
        }
    }

    /// Responds to a peer's long poll: immediately if any kind has changes or is not fresh,
    /// otherwise after the query's wait.
    pub async fn answer(&self, query: &UpdateQuery) -> UpdateReply {
        let until = Instant::now() + query.wait;
        let mut changed = self.changed.subscribe();
        loop {
            let reply = self.update_for(query);
            let has_changes = |update: &KindUpdate| {
                update.full || !update.batch.objects.is_empty() || !update.large.is_empty()
            };
            let stale = reply.len() < query.revisions.len();
            if stale || reply.values().any(has_changes) || Instant::now() >= until {
                return reply;
            }
            // After a timeout, the next round returns the reply without changes.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }

    fn update_for(&self, query: &UpdateQuery) -> UpdateReply {
        let now = Instant::now();
        let logs = self.lock();
        let updates = query.revisions.iter().filter_map(|(kind, revision)| {
            let log = logs.get(kind).filter(|log| log.fresh_until() > now)?;
            let update = log.update_for(*revision, now);
            let update = if query.parts { self.lock_offered().offer(update, now) } else { update };
            Some((Arc::clone(kind), update))
        });
        updates.collect()
    }
}
