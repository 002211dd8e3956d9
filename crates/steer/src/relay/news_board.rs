//! What a VM knows of the store's objects, for itself and for peers.

use super::NewsLog;
use crate::{KindNews, NewsQuery, NewsReply, RawNews};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

/// The kinds of objects that this VM follows, as it last read or heard of them.
#[derive(Debug, Default)]
pub struct NewsBoard {
    changed: watch::Sender<()>,
    logs: Mutex<BTreeMap<Arc<str>, NewsLog>>,
}

impl NewsBoard {
    /// Makes an empty board.
    ///
    /// ```
    /// assert!(steer::NewsBoard::new().revisions().is_empty());
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, NewsLog>> {
        self.logs.lock().expect("no holder of the logs' lock panics")
    }

    /// Takes all objects of a kind, unless it is known at a later revision.
    pub fn replace(&self, kind: &str, listing: RawNews, fresh: Duration, read: Instant) {
        let mut logs = self.lock();
        if logs.get(kind).is_some_and(|log| log.revision() > listing.revision) {
            return;
        }
        logs.insert(kind.into(), NewsLog::new(listing, fresh, read));
        drop(logs);
        self.changed.send_replace(());
    }

    /// Takes changes of a kind since a revision.
    pub fn extend(&self, kind: &str, since: u64, news: RawNews, read: Instant) {
        if let Some(log) = self.lock().get_mut(kind) {
            log.extend(since, news, read);
        }
        // Waiting calls also have to learn that old news was confirmed.
        self.changed.send_replace(());
    }

    /// Takes a peer's answer.
    pub fn hear(&self, query: &NewsQuery, reply: NewsReply) {
        let now = Instant::now();
        for (kind, KindNews { age, full, news }) in reply {
            let read = now.checked_sub(age).unwrap_or(now);
            let Some(since) = query.revisions.get(&kind) else { continue };
            if !full {
                self.extend(&kind, *since, news, read);
                continue;
            }
            let fresh = self.lock().get(&kind).map(NewsLog::fresh);
            self.replace(&kind, news, fresh.unwrap_or_default(), read);
        }
    }

    /// Revision that is known, by kind.
    pub fn revisions(&self) -> BTreeMap<Arc<str>, u64> {
        let logs = self.lock();
        logs.iter().map(|(kind, log)| (Arc::clone(kind), log.revision())).collect()
    }

    /// All objects of a kind, if the knowledge is fresh.
    pub fn all(&self, kind: &str) -> Option<RawNews> {
        let logs = self.lock();
        let log = logs.get(kind).filter(|log| log.fresh_until() > Instant::now())?;
        Some(log.all().relayed())
    }

    /// Waits for changes of a kind since a revision. After the time limit there are none; `None`
    /// as soon as the knowledge is no longer fresh.
    ///
    /// The inner `None` says that the changes are forgotten.
    pub async fn watch(&self, kind: &str, since: u64, until: Instant) -> Option<Option<RawNews>> {
        let mut changed = self.changed.subscribe();
        loop {
            let now = Instant::now();
            let fresh = {
                let logs = self.lock();
                let log = logs.get(kind).filter(|log| log.fresh_until() > now)?;
                match log.since(since) {
                    Some(news) if news.objects.is_empty() && now < until => {}
                    found => return Some(found.map(RawNews::relayed)),
                }
                log.fresh_until()
            };
            // A closed channel is impossible, as the board holds its sender.
            let _ = timeout_at(until.min(fresh), changed.changed()).await;
        }
    }

    /// Waits until the knowledge of a kind is fresh.
    pub async fn wait_fresh(&self, kind: &str) {
        let mut changed = self.changed.subscribe();
        while self.all(kind).is_none() {
            // A closed channel is impossible, as the board holds its sender.
            let _ = changed.changed().await;
        }
    }

    /// Answers a peer: at once where there is news of any kind, or a kind that the peer lacks.
    pub async fn answer(&self, query: &NewsQuery) -> NewsReply {
        let until = Instant::now() + query.wait;
        let mut changed = self.changed.subscribe();
        loop {
            let reply = self.news_for(query);
            let is_news = |news: &KindNews| news.full || !news.news.objects.is_empty();
            let stale = reply.len() < query.revisions.len();
            if stale || reply.values().any(is_news) || Instant::now() >= until {
                return reply;
            }
            // The time limit ends the wait as news would.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }

    fn news_for(&self, query: &NewsQuery) -> NewsReply {
        let now = Instant::now();
        let logs = self.lock();
        let asked = query.revisions.iter().filter_map(|(kind, revision)| {
            let log = logs.get(kind).filter(|log| log.fresh_until() > now)?;
            Some((Arc::clone(kind), log.news_for(*revision, now)))
        });
        asked.collect()
    }
}
