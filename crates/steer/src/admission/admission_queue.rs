//! The queue of requests that wait for a slot of a pool, by urgency and member.

use super::{FairQueue, QueueBound};
use crate::{MemberName, Urgency};
use std::time::Duration;
use tokio::time::Instant;

/// Number of consecutive interactive grants after which a waiting bulk request goes first.
const MAX_INTERACTIVE_RUN: u32 = 7;
/// Target queueing delays of interactive, bulk and deferrable requests.
const TARGET_DELAYS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(500), Duration::from_secs(30)];

/// Maximum time in the queue after which a request may still be evicted in favour of another.
const MAX_EVICT_AGE: Duration = Duration::from_millis(25);

/// Result of making space in the queue for a new request.
#[derive(Debug, Eq, PartialEq)]
pub enum QueueSpace<T> {
    /// The request may join, because this queued request was evicted.
    Evicted(T),
    /// The request may join without an eviction.
    Free,
    /// The request is refused: the queue is full, and its own member exceeds its share.
    Full,
}

#[derive(Debug)]
struct AdmissionEntry<T> {
    item: T,
    queued_at: Instant,
}

/// The admission queue of a pool: priority by urgency, with weighted fair queueing of the
/// members within each urgency.
///
/// Waiting bulk requests get at least one grant in eight. Deferrable requests get a slot only
/// while no other request could use it.
///
/// ```
/// use std::time::Duration;
/// use steer::{AdmissionQueue, MemberName, Urgency};
/// let (mut queue, now) = (AdmissionQueue::new(), tokio::time::Instant::now());
/// let member = MemberName::from("a");
/// for (id, urgency) in [Urgency::Deferrable, Urgency::Bulk, Urgency::Interactive].into_iter().enumerate() {
///     queue.push(now, urgency, 0, &member, 1, Duration::ZERO, id as u64, urgency);
/// }
/// let order: Vec<_> = std::iter::from_fn(|| queue.pop(now, |_| true)).map(|(_, _, u)| u).collect();
/// assert_eq!(order, [Urgency::Interactive, Urgency::Bulk, Urgency::Deferrable]);
/// ```
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    bounds: [QueueBound; 3],
    /// Number of consecutive interactive grants while bulk requests waited.
    interactive_run: u32,
    queues: [FairQueue<AdmissionEntry<T>>; 3],
}

impl<T> Default for AdmissionQueue<T> {
    fn default() -> Self {
        Self {
            bounds: TARGET_DELAYS.map(QueueBound::new),
            interactive_run: 0,
            queues: std::array::from_fn(|_| FairQueue::new()),
        }
    }
}

impl<T> AdmissionQueue<T> {
    /// Maximum number of waiting requests per urgency.
    pub const MAX_WAITING: usize = 1_024;

    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues.iter().map(FairQueue::len).sum()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty)
    }

    /// Whether a request of this or a higher urgency is waiting.
    pub fn has_waiting(&self, urgency: Urgency) -> bool {
        self.queues[..=urgency as usize].iter().any(|queue| !queue.is_empty())
    }

    /// Expected wait of a new request of a member, from the work that is served before it.
    pub fn expected_wait(
        &self,
        urgency: Urgency,
        member: &MemberName,
        weight: u32,
        slots: u32,
    ) -> Duration {
        let level = urgency as usize;
        let before: Duration = self.queues[..level].iter().map(FairQueue::work).sum();
        (before + self.queues[level].work_ahead(member, weight)) / slots.max(1)
    }

    /// Makes space for a new request of a member if the queue is longer than its delay bound
    /// allows.
    ///
    /// A member that exceeds its own share is refused at once. Any other member may join, and the
    /// newest request of the member that is furthest over its share is evicted, unless that request
    /// is too old to be evicted and the queue is below [`MAX_WAITING`](Self::MAX_WAITING).
    pub fn make_space(
        &mut self,
        now: Instant,
        urgency: Urgency,
        member: &MemberName,
        slots: u32,
    ) -> QueueSpace<T> {
        let level = urgency as usize;
        let queue = &mut self.queues[level];
        let allowed = self.bounds[level].allowed() * slots;
        let is_full = queue.len() >= Self::MAX_WAITING;
        let is_long = queue.len() >= slots as usize && queue.work() > allowed;
        if !is_full && !is_long {
            return QueueSpace::Free;
        }
        if queue.exceeds_share(member, allowed) {
            return QueueSpace::Full;
        }
        let Some(over) = queue.most_over_share().filter(|over| *over != member).cloned() else {
            return QueueSpace::Full;
        };
        let is_recent = |entry: &AdmissionEntry<T>| {
            now.saturating_duration_since(entry.queued_at) <= MAX_EVICT_AGE
        };
        if !is_full && !queue.newest(&over).is_some_and(is_recent) {
            return QueueSpace::Free;
        }
        queue.evict_newest(&over).map_or(QueueSpace::Free, |entry| QueueSpace::Evicted(entry.item))
    }

    /// Adds a request.
    #[expect(clippy::too_many_arguments, reason = "independent attributes of the request")]
    pub fn push(
        &mut self,
        now: Instant,
        urgency: Urgency,
        class: usize,
        member: &MemberName,
        weight: u32,
        cost: Duration,
        id: u64,
        item: T,
    ) {
        let entry = AdmissionEntry { item, queued_at: now };
        self.queues[urgency as usize].push(class, member, weight, cost, id, entry);
    }

    /// The urgency that is served next, among the eligible classes.
    fn next_level(&self, eligible: impl Fn(usize) -> bool) -> usize {
        let has_request = |level: usize| self.queues[level].has_eligible(&eligible);
        match (has_request(0), has_request(1)) {
            (true, true) if self.interactive_run >= MAX_INTERACTIVE_RUN => 1,
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    /// The next request, among the eligible classes.
    pub fn peek(&self, eligible: impl Fn(usize) -> bool) -> Option<(usize, &T)> {
        let level = self.next_level(&eligible);
        let (class, _, entry) = self.queues[level].peek(eligible)?;
        Some((class, &entry.item))
    }

    /// Removes the request that `peek` returns.
    pub fn pop(
        &mut self,
        now: Instant,
        eligible: impl Fn(usize) -> bool,
    ) -> Option<(usize, MemberName, T)> {
        let level = self.next_level(&eligible);
        let delays_bulk = level == 0 && !self.queues[1].is_empty();
        self.interactive_run = if delays_bulk { self.interactive_run + 1 } else { 0 };
        let (class, member, entry) = self.queues[level].pop(eligible)?;
        self.bounds[level].record_delay(now, now.saturating_duration_since(entry.queued_at));
        Some((class, member, entry.item))
    }

    /// Charges a member for the slot time used, less the amount charged earlier.
    pub fn charge(
        &mut self,
        urgency: Urgency,
        member: &MemberName,
        used: Duration,
        charged: Duration,
    ) {
        self.queues[urgency as usize].charge(member, used, charged);
    }

    /// Removes a request; `None` if it is no longer queued.
    pub fn remove(
        &mut self,
        urgency: Urgency,
        class: usize,
        member: &MemberName,
        id: u64,
    ) -> Option<T> {
        self.queues[urgency as usize].remove(class, member, id).map(|entry| entry.item)
    }
}
