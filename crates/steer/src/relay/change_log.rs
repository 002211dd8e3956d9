//! The objects of one kind and their latest changes.

use crate::{KindUpdate, ObjectBatch, ObjectPage, RawObject};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// The objects of a kind and their latest changes, with the time when the store last confirmed
/// them.
///
/// ```
/// use steer::{ChangeLog, ObjectBatch, RawObject};
/// use tokio::time::Instant;
/// let object = |name: &str| RawObject { deleted: false, name: name.into(), text: "{}".into() };
/// let now = Instant::now();
/// let fresh = std::time::Duration::from_secs(2);
/// let mut log = ChangeLog::new(ObjectBatch::new(vec![object("a")], 4), fresh, now);
/// log.extend(4, ObjectBatch::new(vec![object("b")], 6), now);
/// assert_eq!(log.since(4).unwrap().objects.len(), 1);
/// assert!(log.since(3).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct ChangeLog {
    /// Names of changed objects, each with the revision at which its batch ended. Only the latest
    /// text of an object is kept, in `objects`.
    changes: VecDeque<(u64, Arc<str>)>,
    /// Changes up to this revision have been discarded.
    last_discarded: u64,
    /// Age from which the objects are stale; stale objects are neither used nor passed on to peers.
    max_age: Duration,
    objects: BTreeMap<Arc<str>, Arc<str>>,
    read_at: Instant,
    /// Whether a peer relayed the last confirmation.
    relayed: bool,
    revision: u64,
}

/// Age and source of a VM's objects of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Freshness {
    /// Time since the store last confirmed the objects.
    pub age: Duration,
    /// Whether a peer relayed that confirmation.
    pub relayed: bool,
    /// Revision of the store that the objects have reached.
    pub revision: u64,
}

impl ChangeLog {
    /// Maximum number of changes that a log keeps.
    pub const MAX_CHANGES: usize = 2_048;

    /// Creates a log from a listing of all objects of a kind.
    pub fn new(listing: ObjectBatch, max_age: Duration, read_at: Instant) -> Self {
        let relayed = listing.relayed;
        let objects = listing.objects.into_iter().map(|object| (object.name, object.text));
        Self {
            changes: VecDeque::new(),
            last_discarded: listing.revision,
            max_age,
            objects: objects.collect(),
            read_at,
            relayed,
            revision: listing.revision,
        }
    }

    /// Appends a batch of changes after `base_revision`, and returns whether the log's revision
    /// rose. Ignores the batch if it is older than the log, or if changes between the log's
    /// revision and `base_revision` would be missing. A batch at the log's revision only renews the
    /// time of the last read.
    pub fn extend(&mut self, base_revision: u64, batch: ObjectBatch, read_at: Instant) -> bool {
        if base_revision > self.revision || batch.revision < self.revision {
            return false;
        }
        if read_at >= self.read_at {
            (self.read_at, self.relayed) = (read_at, batch.relayed);
        }
        if batch.revision == self.revision {
            return false;
        }
        for object in batch.objects {
            self.changes.push_back((batch.revision, Arc::clone(&object.name)));
            if object.deleted {
                self.objects.remove(&object.name);
            } else {
                self.objects.insert(object.name, object.text);
            }
        }
        self.revision = batch.revision;
        while self.changes.len() > Self::MAX_CHANGES {
            self.last_discarded =
                self.changes.pop_front().map_or(self.last_discarded, |(revision, _)| revision);
        }
        true
    }

    /// Returns an object as it is now; one that isn't kept has been deleted.
    fn object(&self, name: &Arc<str>) -> RawObject {
        let text = self.objects.get(name).cloned();
        RawObject {
            deleted: text.is_none(),
            name: Arc::clone(name),
            text: text.unwrap_or_default(),
        }
    }

    /// Returns the text of an object.
    pub fn text(&self, name: &str) -> Option<&Arc<str>> {
        self.objects.get(name)
    }

    /// Returns all objects.
    pub fn all(&self) -> ObjectBatch {
        let objects = self.objects.iter().map(|(name, text)| RawObject {
            deleted: false,
            name: Arc::clone(name),
            text: Arc::clone(text),
        });
        ObjectBatch::new(objects.collect(), self.revision)
    }

    /// Returns the objects that changed since a revision, each as it is now, in the order of their
    /// last changes, or `None` if some of the changes have been discarded. The batch's revision is never below `revision`.
    pub fn since(&self, revision: u64) -> Option<ObjectBatch> {
        if revision < self.last_discarded {
            return None;
        }
        let changes = self.changes.iter().rev().take_while(|(at, _)| *at > revision);
        let mut seen = BTreeSet::new();
        let latest = changes.map(|(_, name)| name).filter(|name| seen.insert(Arc::clone(name)));
        let mut objects: Vec<RawObject> = latest.map(|name| self.object(name)).collect();
        objects.reverse();
        Some(ObjectBatch::new(objects, self.revision.max(revision)))
    }

    /// Returns the update for a peer at a revision: the changes since then, or all objects if some
    /// of those changes have been discarded.
    pub fn update_for(&self, revision: u64, now: Instant) -> KindUpdate {
        let (full, batch) = match self.since(revision) {
            Some(batch) => (false, batch),
            None => (true, self.all()),
        };
        let age = now.duration_since(self.read_at);
        KindUpdate { age, full, batch, large: Vec::new(), more_after: None }
    }

    /// Returns the objects after a name, up to a size in bytes; `None` stands for the first page.
    ///
    /// ```
    /// use steer::{ChangeLog, ObjectBatch, RawObject};
    /// let object = |name: &str| RawObject { deleted: false, name: name.into(), text: "{}".into() };
    /// let batch = ObjectBatch::new(vec![object("a"), object("b")], 4);
    /// let log = ChangeLog::new(batch, Default::default(), tokio::time::Instant::now());
    /// let page = log.page(None, 1);
    /// assert_eq!((page.objects.len(), page.more_after.as_deref()), (1, Some("a")));
    /// assert_eq!(log.page(Some("a"), 1).more_after, None);
    /// ```
    pub fn page(&self, after: Option<&str>, max_bytes: usize) -> ObjectPage {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.objects.range::<str, _>((from, Bound::Unbounded)).peekable();
        let (mut page, mut bytes) = (ObjectPage::default(), 0);
        while bytes < max_bytes
            && let Some((name, text)) = rest.next()
        {
            bytes += name.len() + text.len();
            let (name, text) = (Arc::clone(name), Arc::clone(text));
            page.objects.push(RawObject { deleted: false, name, text });
        }
        let last = page.objects.last().filter(|_| rest.peek().is_some());
        page.more_after = last.map(|object| Arc::clone(&object.name));
        page
    }

    /// Returns the age and source of the objects.
    ///
    /// ```
    /// use steer::{ChangeLog, ObjectBatch};
    /// let now = tokio::time::Instant::now();
    /// let log = ChangeLog::new(ObjectBatch::new(Vec::new(), 4), Default::default(), now);
    /// assert_eq!(log.freshness(now).revision, 4);
    /// ```
    pub fn freshness(&self, now: Instant) -> Freshness {
        let age = now.duration_since(self.read_at);
        Freshness { age, relayed: self.relayed, revision: self.revision }
    }

    /// Sets the age from which the objects are stale.
    pub fn set_max_age(&mut self, max_age: Duration) {
        self.max_age = max_age;
    }

    /// Returns whether a peer relayed the last confirmation.
    pub fn is_relayed(&self) -> bool {
        self.relayed
    }

    /// Returns the time until which the objects are fresh.
    pub fn fresh_until(&self) -> Instant {
        self.read_at + self.max_age
    }

    /// Returns the revision of the store that the log has reached.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
