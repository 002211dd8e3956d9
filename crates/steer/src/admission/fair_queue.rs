//! Start-time fair queueing by member, counted in seconds of slot.

use crate::MemberName;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Virtual time in nanoseconds of slot for one unit of weight.
type Tag = u64;

#[derive(Debug)]
struct Waiter<T> {
    cost: Duration,
    id: u64,
    item: T,
}

/// What a member used and what of it waits.
#[derive(Debug, Default)]
struct Flow {
    start: Tag,
    waiting: usize,
    weight: u32,
    work: Duration,
}

/// The requests of one class that wait, by member, and the members in order of their tags.
#[derive(Debug)]
struct Lane<T> {
    order: BTreeSet<(Tag, MemberName)>,
    waiting: BTreeMap<MemberName, VecDeque<Waiter<T>>>,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Self { order: BTreeSet::new(), waiting: BTreeMap::new() }
    }
}

/// Shares slots between members by weight (start-time fair queueing).
///
/// A member pays for each request with the slot time that is expected, and the difference when
/// it ends, so that long requests count for what they take. A member that sends nothing earns
/// nothing: it starts again at the virtual time of the others. Each class has a lane of its own,
/// so that a class at its bound holds up no other.
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
    flows: BTreeMap<MemberName, Flow>,
    lanes: Vec<Lane<T>>,
    now: Tag,
    waiting: usize,
    weight: u32,
    work: Duration,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            lanes: Vec::new(),
            now: 0,
            waiting: 0,
            weight: 0,
            work: Duration::ZERO,
        }
    }
}

impl<T> FairQueue<T> {
    /// Most slot time for one unit of weight that a member can owe.
    pub const MOST_DEBT: Duration = Duration::from_secs(5);

    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Slot time of all that wait.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Slot time that is served before a new request of a member: what waits of others counts
    /// only as far as the member's weight lets it go first.
    pub fn work_before(&self, member: &MemberName, weight: u32) -> Duration {
        let Some(flow) = self.flows.get(member).filter(|flow| flow.waiting > 0) else {
            let others = self.weight.div_ceil(weight.max(1));
            let mean = self.work / (self.waiting.max(1) as u32);
            return self.work.min(mean * others);
        };
        self.work.min(flow.work * self.weight / flow.weight.max(1))
    }

    /// Puts a request of a class at the end of its member's queue.
    pub fn push(
        &mut self,
        class: usize,
        member: &MemberName,
        weight: u32,
        cost: Duration,
        id: u64,
        item: T,
    ) {
        if self.lanes.len() <= class {
            self.lanes.resize_with(class + 1, Lane::default);
        }
        if !self.flows.contains_key(member) {
            self.flows.insert(member.clone(), Flow::default());
        }
        let flow = self.flows.get_mut(member).expect("the flow was just inserted");
        if flow.waiting == 0 {
            flow.start = flow.start.max(self.now);
            flow.weight = weight.max(1);
            self.weight += flow.weight;
        }
        flow.waiting += 1;
        flow.work += cost;
        self.waiting += 1;
        self.work += cost;
        let lane = &mut self.lanes[class];
        let queue = lane.waiting.entry(member.clone()).or_default();
        if queue.is_empty() {
            lane.order.insert((flow.start, member.clone()));
        }
        queue.push_back(Waiter { cost, id, item });
    }

    /// The request whose member has had least, out of the classes that are open.
    pub fn peek(&self, open: impl Fn(usize) -> bool) -> Option<(usize, &MemberName, &T)> {
        let heads = self.lanes.iter().enumerate().filter(|(class, _)| open(*class));
        let (class, (_, member)) = heads
            .filter_map(|(class, lane)| Some((class, lane.order.first()?)))
            .min_by_key(|(_, (start, _))| *start)?;
        let waiter = self.lanes[class].waiting.get(member)?.front()?;
        Some((class, member, &waiter.item))
    }

    /// Takes the request that `peek` shows, and charges its member for it.
    pub fn pop(&mut self, open: impl Fn(usize) -> bool) -> Option<(usize, MemberName, T)> {
        let (class, member, _) = self.peek(open)?;
        let member = member.clone();
        let start = self.flows.get(&member)?.start;
        self.now = self.now.max(start);
        let waiter = self.lanes[class].waiting.get_mut(&member)?.pop_front()?;
        self.forget(class, &member, waiter.cost);
        self.charge(&member, waiter.cost, Duration::ZERO);
        Some((class, member, waiter.item))
    }

    /// Whether a request waits in a class that is open.
    pub fn has_open(&self, open: impl Fn(usize) -> bool) -> bool {
        self.lanes.iter().enumerate().any(|(class, lane)| !lane.order.is_empty() && open(class))
    }

    /// Charges a member for slot time, less what it was charged for before.
    pub fn charge(&mut self, member: &MemberName, used: Duration, charged: Duration) {
        let Some(flow) = self.flows.get_mut(member) else { return };
        let weight = u64::from(flow.weight.max(1));
        let tag = |time: Duration| time.as_nanos() as u64 / weight;
        let old = flow.start;
        let most = self.now + Self::MOST_DEBT.as_nanos() as u64;
        flow.start = (old + tag(used)).saturating_sub(tag(charged)).min(most.max(old));
        let new = flow.start;
        if flow.waiting == 0 || new == old {
            return;
        }
        for lane in &mut self.lanes {
            if lane.order.remove(&(old, member.clone())) {
                lane.order.insert((new, member.clone()));
            }
        }
    }

    /// Takes out a request that no longer waits; `None` where it has left already.
    pub fn remove(&mut self, class: usize, member: &MemberName, id: u64) -> Option<T> {
        let queue = self.lanes.get_mut(class)?.waiting.get_mut(member)?;
        let place = queue.binary_search_by_key(&id, |waiter| waiter.id).ok()?;
        let waiter = queue.remove(place)?;
        self.forget(class, member, waiter.cost);
        Some(waiter.item)
    }

    /// Whether a member has more waiting work than its part, by weight, of some slot time.
    pub fn is_over(&self, member: &MemberName, allowed: Duration) -> bool {
        let Some(flow) = self.flows.get(member).filter(|flow| flow.waiting > 0) else {
            return false;
        };
        flow.work > allowed * flow.weight / self.weight.max(1)
    }

    /// The newest request of a member.
    pub fn newest(&self, member: &MemberName) -> Option<&T> {
        let newest = self.lanes.iter().filter_map(|lane| lane.waiting.get(member)?.back());
        newest.max_by_key(|waiter| waiter.id).map(|waiter| &waiter.item)
    }

    /// The member that is furthest over its share: most waiting work for its weight.
    pub fn furthest_over(&self) -> Option<&MemberName> {
        let waiting = self.flows.iter().filter(|(_, flow)| flow.waiting > 0);
        waiting.max_by_key(|(_, flow)| flow.work / flow.weight.max(1)).map(|(name, _)| name)
    }

    /// Takes out the newest request of a member.
    pub fn evict(&mut self, member: &MemberName) -> Option<T> {
        let newest = |lane: &Lane<T>| Some(lane.waiting.get(member)?.back()?.id);
        let lanes = self.lanes.iter().enumerate();
        let (class, id) = lanes
            .filter_map(|(class, lane)| Some((class, newest(lane)?)))
            .max_by_key(|(_, id)| *id)?;
        self.remove(class, member, id)
    }

    /// Brings the sums up to date after a request left a member's queue.
    fn forget(&mut self, class: usize, member: &MemberName, cost: Duration) {
        self.waiting -= 1;
        self.work = self.work.saturating_sub(cost);
        let Some(flow) = self.flows.get_mut(member) else { return };
        flow.waiting -= 1;
        flow.work = flow.work.saturating_sub(cost);
        if flow.waiting == 0 {
            self.weight -= flow.weight;
        }
        let start = flow.start;
        let lane = &mut self.lanes[class];
        if lane.waiting.get(member).is_some_and(VecDeque::is_empty) {
            lane.waiting.remove(member);
            lane.order.remove(&(start, member.clone()));
        }
    }
}
