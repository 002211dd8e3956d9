//! A VM's cache of the store's objects, read by its own flows and by its peers.

use super::{ChangeLog, Freshness, OfferedTexts};
use crate::{
    KindUpdate, LargeObject, ObjectBatch, ObjectPage, PageQuery, PartQuery, UpdateQuery,
    UpdateReply,
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

/// Everything that the lock of an `ObjectCache` protects.
#[derive(Debug, Default)]
struct CacheState {
    /// Age from which the objects are stale, by each kind that this VM follows.
    followed: BTreeMap<Arc<str>, Duration>,
    logs: BTreeMap<Arc<str>, ChangeLog>,
}

/// The latest objects of each kind that this VM read from the store or received from a peer.
#[derive(Debug, Default)]
pub struct ObjectCache {
    changed: watch::Sender<()>,
    inner: Mutex<CacheState>,
    offered: Mutex<OfferedTexts>,
    /// Until when a kind counts as up to date because large objects of it are arriving.
    receiving: Mutex<BTreeMap<Arc<str>, Instant>>,
}

impl ObjectCache {
    /// Time after a part of a large object within which the next one is expected. It covers the
    /// timeout of a request to one delegate and the next part from another.
    pub const PART_GRACE: Duration = Duration::from_millis(1_500);
    /// Time by which a confirmation must be later than the poller's for a reply without changes.
    const MIN_GAIN: Duration = Duration::from_millis(300);
    /// Time for which a confirmation is held back, as those of other kinds arrive with it.
    const CONFIRM_DELAY: Duration = Duration::from_millis(50);
    /// Time for which a poller waits for objects that are stale here, before it turns to another VM.
    const STALE_WAIT: Duration = Duration::from_millis(300);

    /// Creates an empty cache.
    ///
    /// ```
    /// assert!(steer::ObjectCache::new().query(Default::default()).revisions.is_empty());
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.inner.lock().expect("no holder of the cache's lock panics")
    }

    /// Sets the age from which the objects of a kind are stale, and requests the kind from peers.
    pub fn follow(&self, kind: &str, max_age: Duration) {
        let mut inner = self.lock();
        match inner.followed.get_mut(kind) {
            Some(age) => *age = max_age,
            None => drop(inner.followed.insert(kind.into(), max_age)),
        }
        if let Some(log) = inner.logs.get_mut(kind) {
            log.set_max_age(max_age);
        }
    }

    /// Replaces all objects of a kind, unless the cache holds a later revision.
    pub fn replace(&self, kind: &str, listing: ObjectBatch, max_age: Duration, read_at: Instant) {
        let mut inner = self.lock();
        if inner.logs.get(kind).is_some_and(|log| log.revision() > listing.revision) {
            return;
        }
        inner.logs.insert(kind.into(), ChangeLog::new(listing, max_age, read_at));
        drop(inner);
        self.changed.send_replace(());
    }

    /// Appends the changes of a kind since a revision.
    pub fn extend(&self, kind: &str, since: u64, batch: ObjectBatch, read_at: Instant) {
        if let Some(log) = self.lock().logs.get_mut(kind) {
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
            let max_age = self.lock().followed.get(&kind).copied();
            self.replace(&kind, batch, max_age.unwrap_or_default(), read_at);
        }
    }

    /// Returns the age and source of the objects of each kind.
    ///
    /// ```
    /// assert!(steer::ObjectCache::new().freshness().is_empty());
    /// ```
    pub fn freshness(&self) -> BTreeMap<Arc<str>, Freshness> {
        let (inner, now) = (self.lock(), Instant::now());
        inner.logs.iter().map(|(kind, log)| (Arc::clone(kind), log.freshness(now))).collect()
    }

    /// Returns the query for the changes of all kinds that this VM follows.
    pub fn query(&self, wait: Duration) -> UpdateQuery {
        let now = Instant::now();
        let inner = self.lock();
        let known = inner.logs.iter();
        let ages = known.clone().map(|(kind, log)| (Arc::clone(kind), log.freshness(now).age));
        let missing = inner.followed.keys().map(|kind| (Arc::clone(kind), 0));
        let revisions = known.map(|(kind, log)| (Arc::clone(kind), log.revision()));
        UpdateQuery {
            ages: ages.collect(),
            pages: true,
            parts: true,
            revisions: missing.chain(revisions).collect(),
            wait,
        }
    }

    /// Returns whether this VM has objects of a kind, fresh or not.
    ///
    /// ```
    /// assert!(!steer::ObjectCache::new().has("targets"));
    /// ```
    pub fn has(&self, kind: &str) -> bool {
        self.lock().logs.contains_key(kind)
    }

    /// Returns whether this VM has objects of every kind that it follows.
    pub fn is_complete(&self) -> bool {
        let inner = self.lock();
        inner.followed.keys().all(|kind| inner.logs.contains_key(kind))
    }

    /// Returns all objects of a kind if they are fresh.
    pub fn all(&self, kind: &str) -> Option<ObjectBatch> {
        let inner = self.lock();
        let log = inner.logs.get(kind).filter(|log| log.fresh_until() > Instant::now())?;
        Some(log.all().relayed())
    }

    /// Waits for relayed changes of a kind since a revision. Returns an empty batch if there are none
    /// until `until`, and `None` as soon as the objects are no longer fresh, or if this VM itself read
    /// them last.
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
                let inner = self.lock();
                let log = inner.logs.get(kind).filter(|log| log.is_relayed())?;
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
                let inner = self.lock();
                let text = inner.logs.get(&query.kind)?.text(&query.object.name)?;
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

    /// Returns a page of the objects of a kind; `None` if this VM doesn't have them.
    pub fn page(&self, query: &PageQuery) -> Option<ObjectPage> {
        let inner = self.lock();
        Some(inner.logs.get(&query.kind)?.page(Some(&query.after), KindUpdate::PAGE_SIZE))
    }

    /// Waits until this VM has fresh objects of a kind.
    pub async fn wait_fresh(&self, kind: &str) {
        self.wait_until(|inner, now| {
            inner.logs.get(kind).is_some_and(|log| log.fresh_until() > now)
        })
        .await;
    }

    /// Waits until a peer relays fresh objects of a kind at a revision after `after`.
    pub async fn wait_relayed(&self, kind: &str, after: u64) {
        self.wait_until(|inner, now| {
            let log = inner.logs.get(kind).filter(|log| log.is_relayed() && log.revision() > after);
            log.is_some_and(|log| log.fresh_until() > now)
        })
        .await;
    }

    async fn wait_until(&self, condition: impl Fn(&CacheState, Instant) -> bool) {
        let mut changed = self.changed.subscribe();
        while !condition(&self.lock(), Instant::now()) {
            // The channel can't be closed, as `self` holds the sender.
            let _ = changed.changed().await;
        }
    }

    /// Responds to a peer's long poll: as soon as any kind has changes or a later confirmation of the
    /// store, or isn't fresh, otherwise after the query's wait.
    pub async fn answer(&self, query: &UpdateQuery) -> UpdateReply {
        let asked_at = Instant::now();
        let until = asked_at + query.wait;
        let mut changed = self.changed.subscribe();
        let mut confirmed_at = None;
        loop {
            let (reply, now) = (self.update_for(query), Instant::now());
            let has_changes = |update: &KindUpdate| {
                update.full || !update.batch.objects.is_empty() || !update.large.is_empty()
            };
            if now >= until || reply.values().any(has_changes) {
                return reply;
            }
            let mut wake_at = until;
            // A VM that has no objects yet waits for them.
            let is_stale =
                |(kind, revision): (&Arc<str>, &u64)| *revision > 0 && !reply.contains_key(kind);
            if query.revisions.iter().any(is_stale) {
                wake_at = wake_at.min(asked_at + Self::STALE_WAIT);
            }
            let waited = now.duration_since(asked_at);
            let is_later = |(kind, update): (&Arc<str>, &KindUpdate)| {
                let age = query.ages.get(kind);
                age.is_some_and(|age| update.age + Self::MIN_GAIN <= *age + waited)
            };
            if reply.iter().any(is_later) {
                wake_at = wake_at.min(*confirmed_at.get_or_insert(now) + Self::CONFIRM_DELAY);
            }
            if now >= wake_at {
                return reply;
            }
            // After a timeout, the next round returns the reply.
            let _ = timeout_at(wake_at, changed.changed()).await;
        }
    }

    fn update_for(&self, query: &UpdateQuery) -> UpdateReply {
        let now = Instant::now();
        let inner = self.lock();
        let updates = query.revisions.iter().filter_map(|(kind, revision)| {
            let log = inner.logs.get(kind).filter(|log| log.fresh_until() > now)?;
            let update = log.update_for(*revision, now);
            let update = if query.pages { to_first_page(update, log) } else { update };
            let update = if query.parts { self.lock_offered().offer(update, now) } else { update };
            Some((Arc::clone(kind), update))
        });
        updates.collect()
    }
}

/// Replaces an update that is too long for a page by the first page of all objects.
fn to_first_page(update: KindUpdate, log: &ChangeLog) -> KindUpdate {
    let small = update.batch.objects.iter().map(|object| object.text.len());
    let small = small.filter(|size| *size < LargeObject::MIN_SIZE);
    if small.sum::<usize>() <= KindUpdate::PAGE_SIZE {
        return update;
    }
    let page = log.page(None, KindUpdate::PAGE_SIZE);
    let batch = ObjectBatch::new(page.objects, log.revision());
    KindUpdate { batch, full: true, more_after: page.more_after, ..update }
}
