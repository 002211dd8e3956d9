//! What a VM knows of one kind of the store's objects.

use crate::{KindNews, RawNews, RawObject};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// The objects of a kind and their latest changes, with the time at which the store said so.
///
/// ```
/// use steer::{NewsLog, RawNews, RawObject};
/// use tokio::time::Instant;
/// let object = |name: &str| RawObject { deleted: false, name: name.into(), text: "{}".into() };
/// let now = Instant::now();
/// let fresh = std::time::Duration::from_secs(2);
/// let mut log = NewsLog::new(RawNews::new(vec![object("a")], 4), fresh, now);
/// log.extend(4, RawNews::new(vec![object("b")], 6), now);
/// assert_eq!(log.since(4).unwrap().objects.len(), 1);
/// assert!(log.since(3).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct NewsLog {
    /// Changes, each with the revision at which its batch ended.
    changes: VecDeque<(u64, RawObject)>,
    /// Changes up to this revision are forgotten.
    floor: u64,
    /// Age up to which the knowledge is relied on.
    fresh: Duration,
    objects: BTreeMap<Arc<str>, Arc<str>>,
    read: Instant,
    revision: u64,
}

impl NewsLog {
    /// Most changes that are remembered.
    pub const MOST_CHANGES: usize = 2_048;

    /// Makes a log of all objects of a kind.
    pub fn new(listing: RawNews, fresh: Duration, read: Instant) -> Self {
        let objects = listing.objects.into_iter().map(|object| (object.name, object.text));
        Self {
            changes: VecDeque::new(),
            floor: listing.revision,
            fresh,
            objects: objects.collect(),
            read,
            revision: listing.revision,
        }
    }

    /// Takes changes since a revision; tells whether there is news. Where the log itself is older
    /// than that revision, changes between the two are missing, and nothing is taken.
    pub fn extend(&mut self, since: u64, news: RawNews, read: Instant) -> bool {
        if since > self.revision || news.revision < self.revision {
            return false;
        }
        self.read = self.read.max(read);
        if news.revision == self.revision {
            return false;
        }
        for object in news.objects {
            if object.deleted {
                self.objects.remove(&object.name);
            } else {
                self.objects.insert(Arc::clone(&object.name), Arc::clone(&object.text));
            }
            self.changes.push_back((news.revision, object));
        }
        self.revision = news.revision;
        while self.changes.len() > Self::MOST_CHANGES {
            self.floor = self.changes.pop_front().map_or(self.floor, |(revision, _)| revision);
        }
        true
    }

    /// All objects.
    pub fn all(&self) -> RawNews {
        let objects = self.objects.iter().map(|(name, text)| RawObject {
            deleted: false,
            name: Arc::clone(name),
            text: Arc::clone(text),
        });
        RawNews::new(objects.collect(), self.revision)
    }

    /// Changes since a revision; `None` where they are forgotten.
    pub fn since(&self, revision: u64) -> Option<RawNews> {
        if revision < self.floor {
            return None;
        }
        let changes = self.changes.iter().filter(|(at, _)| *at > revision);
        let objects = changes.map(|(_, object)| object.clone()).collect();
        Some(RawNews::new(objects, self.revision.max(revision)))
    }

    /// News for a peer that has a revision.
    pub fn news_for(&self, revision: u64, now: Instant) -> KindNews {
        let (full, news) = match self.since(revision) {
            Some(news) => (false, news),
            None => (true, self.all()),
        };
        KindNews { age: now.duration_since(self.read), full, news }
    }

    /// Age up to which the knowledge is relied on.
    pub fn fresh(&self) -> Duration {
        self.fresh
    }

    /// Until when the knowledge is fresh.
    pub fn fresh_until(&self) -> Instant {
        self.read + self.fresh
    }

    /// Revision of the store up to which all is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
