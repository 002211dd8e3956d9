//! Lets bytes onto links by urgency.

use crate::{ShareDesk, ShareKey, Urgency};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

type Place = (Urgency, u64);

#[derive(Debug, Default)]
struct Lines {
    next: u64,
    waiting: BTreeMap<ShareKey, BTreeSet<Place>>,
}

/// Lets bytes onto links: within this VM's share of the link, the most urgent first.
#[derive(Debug)]
pub struct LinkPacer {
    lines: Mutex<Lines>,
    moved: Notify,
    shares: Arc<Mutex<ShareDesk>>,
}

/// A place in the line for a link; it is left when dropped.
struct Turn<'a> {
    key: &'a ShareKey,
    pacer: &'a LinkPacer,
    place: Place,
}

impl Turn<'_> {
    fn is_first(&self) -> bool {
        let lines = self.pacer.lock();
        lines.waiting.get(self.key).and_then(BTreeSet::first) == Some(&self.place)
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut lines = self.pacer.lock();
        if let Some(line) = lines.waiting.get_mut(self.key) {
            line.remove(&self.place);
            if line.is_empty() {
                lines.waiting.remove(self.key);
            }
        }
        drop(lines);
        self.pacer.moved.notify_waiters();
    }
}

impl LinkPacer {
    /// Most bytes that go onto a link at once.
    pub const CHUNK: u64 = 16 << 10;
    /// Longest wait before the share is read again, since a lease may come or lapse.
    const RECHECK: Duration = Duration::from_millis(50);
    /// A chunk is at most this part of the share, so that a small share is still spread.
    const CHUNK_PART: u64 = 8;

    /// Makes a pacer over this VM's shares.
    pub fn new(shares: Arc<Mutex<ShareDesk>>) -> Self {
        Self { lines: Mutex::default(), moved: Notify::new(), shares }
    }

    fn lock(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().expect("no holder of the pacer's lock panics")
    }

    fn join(&self, key: &ShareKey, urgency: Urgency) -> Place {
        let mut lines = self.lock();
        lines.next += 1;
        let place = (urgency, lines.next);
        lines.waiting.entry(key.clone()).or_default().insert(place);
        place
    }

    /// Waits until some of `most` bytes may go onto a link, and tells how many.
    pub async fn take(&self, key: &ShareKey, most: u64, urgency: Urgency) -> u64 {
        let turn = Turn { key, pacer: self, place: self.join(key, urgency) };
        self.moved.notify_waiters();
        loop {
            let moved = self.moved.notified();
            let wait = match turn.is_first().then(|| self.try_take(key, most)) {
                Some(Ok(taken)) => return taken,
                Some(Err(wait)) => wait.min(Self::RECHECK),
                None => Self::RECHECK,
            };
            tokio::select! {
                () = moved => {}
                () = sleep(wait) => {}
            }
        }
    }

    fn try_take(&self, key: &ShareKey, most: u64) -> Result<u64, Duration> {
        let now = Instant::now();
        let mut shares = self.shares.lock().expect("no holder of the shares' lock panics");
        let part = (shares.status(key, now).limit / Self::CHUNK_PART).max(1);
        let chunk = most.min(Self::CHUNK).min(part);
        shares.take(key, chunk, now).map(|()| chunk)
    }
}
