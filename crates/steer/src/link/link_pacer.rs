//! Limits the rate of bytes sent on links; urgent bodies go first.

use crate::{ShareAllocator, ShareKey, Urgency};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

/// Position in the queue of a link: by urgency, then by arrival.
type Position = (Urgency, u64);

#[derive(Debug, Default)]
struct Queues {
    next: u64,
    waiting: BTreeMap<ShareKey, BTreeSet<Position>>,
}

/// Limits the bytes sent on each link to this VM's share of the link. The most urgent bodies are
/// sent first.
#[derive(Debug)]
pub struct LinkPacer {
    queues: Mutex<Queues>,
    changed: Notify,
    shares: Arc<Mutex<ShareAllocator>>,
}

/// An entry in the queue of a link, removed on drop.
struct QueueEntry<'a> {
    key: &'a ShareKey,
    pacer: &'a LinkPacer,
    position: Position,
}

impl QueueEntry<'_> {
    fn is_first(&self) -> bool {
        let queues = self.pacer.lock();
        queues.waiting.get(self.key).and_then(BTreeSet::first) == Some(&self.position)
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut queues = self.pacer.lock();
        if let Some(queue) = queues.waiting.get_mut(self.key) {
            queue.remove(&self.position);
            if queue.is_empty() {
                queues.waiting.remove(self.key);
            }
        }
        drop(queues);
        self.pacer.changed.notify_waiters();
    }
}

impl LinkPacer {
    /// Maximum number of bytes sent on a link at once.
    pub const MAX_CHUNK_BYTES: u64 = 16 << 10;
    /// Maximum time before the share is read again, as a lease may be granted or expire meanwhile.
    const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
    /// A chunk is at most the share divided by this, so that a small share is spread over several
    /// chunks.
    const CHUNKS_PER_SHARE: u64 = 8;

    /// Creates a pacer for this VM's shares.
    pub fn new(shares: Arc<Mutex<ShareAllocator>>) -> Self {
        Self { queues: Mutex::default(), changed: Notify::new(), shares }
    }

    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().expect("no holder of the pacer's lock panics")
    }

    fn enqueue(&self, key: &ShareKey, urgency: Urgency) -> Position {
        let mut queues = self.lock();
        queues.next += 1;
        let position = (urgency, queues.next);
        queues.waiting.entry(key.clone()).or_default().insert(position);
        position
    }

    /// Waits until some of `max` bytes may be sent on a link, and returns how many.
    pub async fn acquire(&self, key: &ShareKey, max: u64, urgency: Urgency) -> u64 {
        let entry = QueueEntry { key, pacer: self, position: self.enqueue(key, urgency) };
        self.changed.notify_waiters();
        loop {
            let changed = self.changed.notified();
            let wait = match entry.is_first().then(|| self.try_acquire(key, max)) {
                Some(Ok(chunk)) => return chunk,
                Some(Err(wait)) => wait.min(Self::RECHECK_INTERVAL),
                None => Self::RECHECK_INTERVAL,
            };
            tokio::select! {
                () = changed => {}
                () = sleep(wait) => {}
            }
        }
    }

    fn try_acquire(&self, key: &ShareKey, max: u64) -> Result<u64, Duration> {
        let now = Instant::now();
        let mut shares = self.shares.lock().expect("no holder of the shares' lock panics");
        let max_chunk = (shares.status(key, now).limit / Self::CHUNKS_PER_SHARE).max(1);
        let chunk = max.min(Self::MAX_CHUNK_BYTES).min(max_chunk);
        shares.try_acquire(key, chunk, now).map(|()| chunk)
    }
}
