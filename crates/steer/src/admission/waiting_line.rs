//! The requests that wait for a slot of a pool, by urgency and member.

use super::{FairQueue, QueueBound};
use crate::{MemberName, Urgency};
use std::time::Duration;
use tokio::time::Instant;

/// Grants to interactive work after which waiting bulk work has its turn.
const BULK_TURN: u32 = 7;
/// Target delay of interactive, bulk and deferrable work.
const TARGETS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(500), Duration::from_secs(30)];

/// Longest time that a request waited which is still refused in favour of another.
const EVICT_AGE: Duration = Duration::from_millis(25);

/// Whether a request may join the line.
#[derive(Debug, Eq, PartialEq)]
pub enum Room<T> {
    /// It may, in place of this one.
    Evicted(T),
    /// It may.
    Free,
    /// It may not: the line is full and its own member has more than its part.
    Full,
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    since: Instant,
}

/// The waiting line of a pool: interactive before bulk before deferrable work, and members by
/// weight within each.
///
/// Bulk work that waits gets one grant in eight at least. Deferrable work gets one only while
/// nothing else could use it.
///
/// ```
/// use std::time::Duration;
/// use steer::{MemberName, Urgency, WaitingLine};
/// let (mut line, now) = (WaitingLine::new(), tokio::time::Instant::now());
/// let member = MemberName::from("a");
/// for (id, urgency) in [Urgency::Deferrable, Urgency::Bulk, Urgency::Interactive].into_iter().enumerate() {
///     line.push(now, urgency, 0, &member, 1, Duration::ZERO, id as u64, urgency);
/// }
/// let order: Vec<_> = std::iter::from_fn(|| line.pop(now, |_| true)).map(|(_, _, u)| u).collect();
/// assert_eq!(order, [Urgency::Interactive, Urgency::Bulk, Urgency::Deferrable]);
/// ```
#[derive(Debug)]
pub struct WaitingLine<T> {
    bounds: [QueueBound; 3],
    queues: [FairQueue<Entry<T>>; 3],
    urgent: u32,
}

impl<T> Default for WaitingLine<T> {
    fn default() -> Self {
        Self {
            bounds: TARGETS.map(QueueBound::new),
            queues: std::array::from_fn(|_| FairQueue::new()),
            urgent: 0,
        }
    }
}

impl<T> WaitingLine<T> {
    /// Most requests that wait in one urgency.
    pub const MOST_WAITING: usize = 1_024;

    /// Makes an empty line.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.queues.iter().map(FairQueue::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty)
    }

    /// Whether a request of this or a higher urgency waits.
    pub fn waits(&self, urgency: Urgency) -> bool {
        self.queues[..=urgency as usize].iter().any(|queue| !queue.is_empty())
    }

    /// Expected wait of a new request of a member behind what goes first.
    pub fn expected_wait(
        &self,
        urgency: Urgency,
        member: &MemberName,
        weight: u32,
        slots: u32,
    ) -> Duration {
        let level = urgency as usize;
        let before: Duration = self.queues[..level].iter().map(FairQueue::work).sum();
        (before + self.queues[level].work_before(member, weight)) / slots.max(1)
    }

    /// Makes room for a new request of a member in a queue that is longer than its measured
    /// delay allows.
    ///
    /// A member that is over its own part is refused at once. Any other may join, and the newest
    /// request of the member that is furthest over leaves in its place, unless it has waited for
    /// long already.
    pub fn make_room(
        &mut self,
        now: Instant,
        urgency: Urgency,
        member: &MemberName,
        slots: u32,
    ) -> Room<T> {
        let level = urgency as usize;
        let queue = &mut self.queues[level];
        let allowed = self.bounds[level].allowed() * slots;
        let crowded = queue.len() >= Self::MOST_WAITING;
        let is_long = queue.len() >= slots as usize && queue.work() > allowed;
        if !crowded && !is_long {
            return Room::Free;
        }
        if queue.is_over(member, allowed) {
            return Room::Full;
        }
        let Some(over) = queue.furthest_over().filter(|over| *over != member).cloned() else {
            return Room::Full;
        };
        let is_young = |entry: &Entry<T>| now.saturating_duration_since(entry.since) <= EVICT_AGE;
        if !crowded && !queue.newest(&over).is_some_and(is_young) {
            return Room::Free;
        }
        queue.evict(&over).map_or(Room::Free, |entry| Room::Evicted(entry.item))
    }

    /// Puts a request into the line.
    #[expect(clippy::too_many_arguments, reason = "each is a plain fact about the request")]
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
        let entry = Entry { item, since: now };
        self.queues[urgency as usize].push(class, member, weight, cost, id, entry);
    }

    /// The urgency whose turn it is, out of the classes that are open.
    fn level(&self, open: impl Fn(usize) -> bool) -> usize {
        let ready = |level: usize| self.queues[level].has_open(&open);
        match (ready(0), ready(1)) {
            (true, true) if self.urgent >= BULK_TURN => 1,
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    /// The next request, out of the classes that are open.
    pub fn peek(&self, open: impl Fn(usize) -> bool) -> Option<(usize, &T)> {
        let level = self.level(&open);
        let (class, _, entry) = self.queues[level].peek(open)?;
        Some((class, &entry.item))
    }

    /// Takes the request that `peek` shows.
    pub fn pop(
        &mut self,
        now: Instant,
        open: impl Fn(usize) -> bool,
    ) -> Option<(usize, MemberName, T)> {
        let level = self.level(&open);
        let overtakes = level == 0 && !self.queues[1].is_empty();
        self.urgent = if overtakes { self.urgent + 1 } else { 0 };
        let (class, member, entry) = self.queues[level].pop(open)?;
        self.bounds[level].note_delay(now, now.saturating_duration_since(entry.since));
        Some((class, member, entry.item))
    }

    /// Charges a member for slot time, less what it was charged for before.
    pub fn charge(
        &mut self,
        urgency: Urgency,
        member: &MemberName,
        used: Duration,
        charged: Duration,
    ) {
        self.queues[urgency as usize].charge(member, used, charged);
    }

    /// Takes out a request that no longer waits.
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
