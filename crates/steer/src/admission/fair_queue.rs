//! Start-time fair queueing by member, measured in slot time.

use crate::MemberName;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Virtual time, in nanoseconds of slot time per unit of weight.
type Tag = u64;

#[derive(Debug)]
struct QueuedRequest<T> {
    /// Expected slot time.
    cost: Duration,
    id: u64,
    item: T,
}

/// Start tag and queued work of a member.
#[derive(Debug, Default)]
struct Flow {
    start: Tag,
    /// Number of queued requests.
    waiting: usize,
    weight: u32,
    /// Total expected slot time of the queued requests.
    work: Duration,
}

/// The waiting requests of one class by member, and the members ordered by start tag.
#[derive(Debug)]
struct ClassQueue<T> {
    order: BTreeSet<(Tag, MemberName)>,
    waiting: BTreeMap<MemberName, VecDeque<QueuedRequest<T>>>,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self { order: BTreeSet::new(), waiting: BTreeMap::new() }
    }
}

/// Shares slots between members by weight (start-time fair queueing).
///
/// A member is charged the expected slot time when its request is dequeued, and the difference to
/// the time actually used when the request ends, so that long requests count in full. An idle
/// member accumulates no credit: its next request starts at the current virtual time. Each class
/// has its own queue, so that a class at its slot limit doesn't block the others.
///
/// ```
/// use std::time::Duration;
/// use steer::{FairQueue, MemberName};
/// let (a, b) = (MemberName::from("a"), MemberName::from("b"));
/// let mut queue = FairQueue::new();
/// let cost = Duration::from_millis(10);
/// for id in 0..3 {
///     queue.push(0, &a, 1, cost, id, "from a");
/// }
/// queue.push(0, &b, 1, cost, 3, "from b");
/// let order: Vec<_> = std::iter::from_fn(|| queue.pop(|_| true)).map(|(_, _, item)| item).collect();
/// assert_eq!(order, ["from a", "from b", "from a", "from a"]);
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    classes: Vec<ClassQueue<T>>,
    flows: BTreeMap<MemberName, Flow>,
    virtual_time: Tag,
    waiting: usize,
    /// Total weight of the members with queued requests.
    weight: u32,
    work: Duration,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            flows: BTreeMap::new(),
            virtual_time: 0,
            waiting: 0,
            weight: 0,
            work: Duration::ZERO,
        }
    }
}

impl<T> FairQueue<T> {
    /// Upper limit on how far a member's start tag may run ahead of the virtual time, per unit of
    /// weight.
    pub const MAX_DEBT: Duration = Duration::from_secs(5);

    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Total expected slot time of the waiting requests.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Estimated slot time that is served before a new request of a member. Work of other members
    /// counts only to the extent that their weights place it first.
    pub fn work_ahead(&self, member: &MemberName, weight: u32) -> Duration {
        let Some(flow) = self.flows.get(member).filter(|flow| flow.waiting > 0) else {
            let others = self.weight.div_ceil(weight.max(1));
            let mean = self.work / (self.waiting.max(1) as u32);
            return self.work.min(mean * others);
        };
        self.work.min(flow.work * self.weight / flow.weight.max(1))
    }

    /// Appends a request to the queue of its class and member.
    pub fn push(
        &mut self,
        class: usize,
        member: &MemberName,
        weight: u32,
        cost: Duration,
        id: u64,
        item: T,
    ) {
        if self.classes.len() <= class {
            self.classes.resize_with(class + 1, ClassQueue::default);
        }
        if !self.flows.contains_key(member) {
            self.flows.insert(member.clone(), Flow::default());
        }
        let flow = self.flows.get_mut(member).expect("the flow was just inserted");
        if flow.waiting == 0 {
            flow.start = flow.start.max(self.virtual_time);
            flow.weight = weight.max(1);
            self.weight += flow.weight;
        }
        flow.waiting += 1;
        flow.work += cost;
        self.waiting += 1;
        self.work += cost;
        let class_queue = &mut self.classes[class];
        let queue = class_queue.waiting.entry(member.clone()).or_default();
        if queue.is_empty() {
            class_queue.order.insert((flow.start, member.clone()));
        }
        queue.push_back(QueuedRequest { cost, id, item });
    }

    /// The request of the member with the lowest start tag, among the eligible classes.
    pub fn peek(&self, eligible: impl Fn(usize) -> bool) -> Option<(usize, &MemberName, &T)> {
        let heads = self.classes.iter().enumerate().filter(|(class, _)| eligible(*class));
        let (class, (_, member)) = heads
            .filter_map(|(class, class_queue)| Some((class, class_queue.order.first()?)))
            .min_by_key(|(_, (start, _))| *start)?;
        let request = self.classes[class].waiting.get(member)?.front()?;
        Some((class, member, &request.item))
    }

    /// Removes the request that `peek` returns, and charges its member for it.
    pub fn pop(&mut self, eligible: impl Fn(usize) -> bool) -> Option<(usize, MemberName, T)> {
        let (class, member, _) = self.peek(eligible)?;
        let member = member.clone();
        let start = self.flows.get(&member)?.start;
        self.virtual_time = self.virtual_time.max(start);
        let request = self.classes[class].waiting.get_mut(&member)?.pop_front()?;
        self.update_totals(class, &member, request.cost);
        self.charge(&member, request.cost, Duration::ZERO);
        Some((class, member, request.item))
    }

    /// Whether a request is waiting in an eligible class.
    pub fn has_eligible(&self, eligible: impl Fn(usize) -> bool) -> bool {
        self.classes
            .iter()
            .enumerate()
            .any(|(class, class_queue)| !class_queue.order.is_empty() && eligible(class))
    }

    /// Charges a member for the slot time used, less the amount charged earlier.
    pub fn charge(&mut self, member: &MemberName, used: Duration, charged: Duration) {
        let Some(flow) = self.flows.get_mut(member) else { return };
        let weight = u64::from(flow.weight.max(1));
        let tag = |time: Duration| time.as_nanos() as u64 / weight;
        let old = flow.start;
        let limit = self.virtual_time + Self::MAX_DEBT.as_nanos() as u64;
        flow.start = (old + tag(used)).saturating_sub(tag(charged)).min(limit.max(old));
        let new = flow.start;
        if flow.waiting == 0 || new == old {
            return;
        }
        for class_queue in &mut self.classes {
            if class_queue.order.remove(&(old, member.clone())) {
                class_queue.order.insert((new, member.clone()));
            }
        }
    }

    /// Removes a request; `None` if it is no longer queued.
    pub fn remove(&mut self, class: usize, member: &MemberName, id: u64) -> Option<T> {
        let queue = self.classes.get_mut(class)?.waiting.get_mut(member)?;
        let index = queue.binary_search_by_key(&id, |request| request.id).ok()?;
        let request = queue.remove(index)?;
        self.update_totals(class, member, request.cost);
        Some(request.item)
    }

    /// Whether a member's waiting work exceeds its share, by weight, of the allowed slot time.
    pub fn exceeds_share(&self, member: &MemberName, allowed: Duration) -> bool {
        let Some(flow) = self.flows.get(member).filter(|flow| flow.waiting > 0) else {
            return false;
        };
        flow.work > allowed * flow.weight / self.weight.max(1)
    }

    /// The most recent request of a member.
    pub fn newest(&self, member: &MemberName) -> Option<&T> {
        let newest =
            self.classes.iter().filter_map(|class_queue| class_queue.waiting.get(member)?.back());
        newest.max_by_key(|request| request.id).map(|request| &request.item)
    }

    /// The member with the most waiting work relative to its weight.
    pub fn most_over_share(&self) -> Option<&MemberName> {
        let waiting = self.flows.iter().filter(|(_, flow)| flow.waiting > 0);
        waiting.max_by_key(|(_, flow)| flow.work / flow.weight.max(1)).map(|(name, _)| name)
    }

    /// Removes the most recent request of a member.
    pub fn evict_newest(&mut self, member: &MemberName) -> Option<T> {
        let newest = |queue: &ClassQueue<T>| Some(queue.waiting.get(member)?.back()?.id);
        let classes = self.classes.iter().enumerate();
        let (class, id) = classes
            .filter_map(|(class, class_queue)| Some((class, newest(class_queue)?)))
            .max_by_key(|(_, id)| *id)?;
        self.remove(class, member, id)
    }

    /// Updates the totals after a request was removed from a member's queue.
    fn update_totals(&mut self, class: usize, member: &MemberName, cost: Duration) {
        self.waiting -= 1;
        self.work = self.work.saturating_sub(cost);
        let Some(flow) = self.flows.get_mut(member) else { return };
        flow.waiting -= 1;
        flow.work = flow.work.saturating_sub(cost);
        if flow.waiting == 0 {
            self.weight -= flow.weight;
        }
        let start = flow.start;
        let class_queue = &mut self.classes[class];
        if class_queue.waiting.get(member).is_some_and(VecDeque::is_empty) {
            class_queue.waiting.remove(member);
            class_queue.order.remove(&(start, member.clone()));
        }
    }
}
