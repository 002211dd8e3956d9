//! The targets, classes and waiting requests of a pool: everything under its one lock.

use super::{Ticket, grant::Grant, pool_class::PoolClass, pool_target::PoolTarget};
use crate::{
    AdmissionQueue, AdmitError, ErrorKind, HedgeRule, InteractiveReserve, MemberName,
    MemberWeights, OutlierEjection, PoolRoom, QueueSpace, RelativeLatency, RetryBudget, TargetName,
    Urgency, choose_target, reference_latency, spare_reserve,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::{sync::oneshot, time::Instant};

/// Where a waiting request is told how its wait ended.
pub(super) type Reply = oneshot::Sender<Result<super::Permit, AdmitError>>;

/// A request that waits.
#[derive(Debug)]
struct Waiter {
    charged: Duration,
    id: u64,
    reply: Reply,
    ticket: Ticket,
}

/// Where a request waits.
#[derive(Clone, Debug)]
pub(super) struct Place {
    class: usize,
    id: u64,
    /// Last moment at which the request can start and still end in time.
    pub(super) latest: Instant,
    member: MemberName,
    urgency: Urgency,
}

/// Sums over the targets, worked out again after a change and every few milliseconds.
#[derive(Debug, Default)]
struct Sums {
    at: Option<Instant>,
    in_service: usize,
    slots: u32,
    trials: bool,
}

#[derive(Debug)]
pub(super) struct PoolState {
    budget: RetryBudget,
    busy: u32,
    classes: Vec<PoolClass>,
    /// Slots in use by work that isn't interactive.
    flexible: u32,
    pub(super) grace: Option<Instant>,
    queue: AdmissionQueue<Waiter>,
    pub(super) members: MemberWeights,
    next: u64,
    reserve: InteractiveReserve,
    rng: StdRng,
    sums: Sums,
    /// Sorted by name.
    pub(super) targets: Vec<PoolTarget>,
}

impl PoolState {
    /// Time for which the sums over the targets hold where nothing changes.
    const SUMS_AGE: Duration = Duration::from_millis(5);
    /// Time after which a trial that is due takes any request.
    const TRIAL_PATIENCE: Duration = Duration::from_secs(2);

    pub(super) fn new(seed: u64) -> Self {
        Self {
            budget: RetryBudget::default(),
            busy: 0,
            classes: Vec::new(),
            flexible: 0,
            grace: None,
            queue: AdmissionQueue::new(),
            members: MemberWeights::default(),
            next: 0,
            reserve: InteractiveReserve::default(),
            rng: StdRng::seed_from_u64(seed),
            sums: Sums::default(),
            targets: Vec::new(),
        }
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.0)
    }

    pub(super) fn target(&mut self, name: &TargetName) -> Option<&mut PoolTarget> {
        let place = self.targets.binary_search_by(|target| target.name.cmp(name)).ok()?;
        Some(&mut self.targets[place])
    }

    /// The number of a ticket's class; new settings of the class are taken from the ticket.
    fn class(&mut self, ticket: &Ticket) -> usize {
        if let Some(place) = self.classes.iter().position(|class| class.name == ticket.class) {
            let class = &mut self.classes[place];
            (class.share, class.urgency) = (ticket.slot_share, ticket.urgency);
            return place;
        }
        self.classes.push(PoolClass::new(ticket));
        self.classes.len() - 1
    }

    /// Lets the sums be worked out again before they are next used.
    pub(super) fn note_change(&mut self) {
        self.sums.at = None;
    }

    /// Eases slowed targets out and works out the sums, if they are old.
    fn refresh(&mut self, now: Instant) {
        if self.sums.at.is_some_and(|at| now.saturating_duration_since(at) < Self::SUMS_AGE) {
            return;
        }
        self.ease_out(now);
        let open = self.targets.iter().filter(|target| target.is_in_service());
        self.sums = Sums {
            at: Some(now),
            in_service: open.clone().count(),
            slots: open.map(|target| target.limit(now, self.grace)).sum(),
            trials: self.targets.iter().any(|target| target.wants_trial(now)),
        };
    }

    fn ease_out(&mut self, now: Instant) {
        let in_service = self.targets.iter().filter(|t| t.is_in_service());
        let most = OutlierEjection::max_ejected(in_service.clone().count());
        let mut out = in_service.filter(|t| t.ejection.is_ejected()).count();
        for place in 0..self.targets.len() {
            let target = &mut self.targets[place];
            target.latency.expire(now);
            let slow = target.is_in_service() && target.latency.is_slow(now);
            if out >= most || !slow || target.ejection.is_ejected() {
                continue;
            }
            let jitter = self.jitter();
            self.targets[place].ejection.eject(now, jitter);
            out += 1;
        }
    }

    /// Puts a request into the line, if it can be served in time and the line has room.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        reply: Reply,
    ) -> Result<Place, AdmitError> {
        self.refresh(now);
        if self.sums.in_service == 0 {
            return Err(AdmitError::new(ErrorKind::NoRoom, Duration::ZERO));
        }
        let class = self.class(ticket);
        let (member, weight) = self.members.flow_of(&ticket.member);
        let cost = self.classes[class].times.mean(now);
        let slots = self.classes[class].bound(self.sums.slots);
        let wait = self.queue.expected_wait(ticket.urgency, &member, weight, slots);
        let latest = ticket.deadline.checked_sub(cost).filter(|latest| *latest >= now + wait);
        let Some(latest) = latest else {
            return Err(AdmitError::new(ErrorKind::DeadlineTooShort, wait));
        };
        let full = AdmitError::new(ErrorKind::NoRoom, wait);
        match self.queue.make_space(now, ticket.urgency, &member, slots) {
            QueueSpace::Free => {}
            QueueSpace::Full => return Err(full),
            // Where the evicted caller went away meanwhile, nobody has to be told.
            QueueSpace::Evicted(waiter) => drop(waiter.reply.send(Err(full))),
        }
        let id = self.take_id();
        let urgency = ticket.urgency;
        let waiter = Waiter { charged: cost, id, reply, ticket: ticket.clone() };
        self.queue.push(now, urgency, class, &member, weight, cost, id, waiter);
        Ok(Place { class, id, latest, member, urgency })
    }

    fn take_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Takes a request out of the line; nothing happens where it has its slot already.
    pub(super) fn leave(&mut self, place: &Place) {
        self.queue.remove(place.urgency, place.class, &place.member, place.id);
    }

    /// Whether a class may take one more slot of the pool.
    fn is_open(&self, class: &PoolClass) -> bool {
        let slots = self.sums.slots;
        if class.busy >= class.bound(slots) {
            return false;
        }
        let has_interactive = || self.classes.iter().any(|c| c.urgency == Urgency::Interactive);
        match class.urgency {
            Urgency::Interactive => true,
            Urgency::Bulk => {
                self.flexible + self.reserve.slots(slots) < slots || !has_interactive()
            }
            Urgency::Deferrable => self.busy + spare_reserve(slots) < slots,
        }
    }

    /// Gives a free slot to the next waiting request, if there are both.
    pub(super) fn next_grant(&mut self, now: Instant) -> Option<(Reply, Grant)> {
        if self.queue.is_empty() {
            return None;
        }
        self.refresh(now);
        let mut open: Vec<bool> = self.classes.iter().map(|class| self.is_open(class)).collect();
        loop {
            let (class, waiter) = self.queue.peek(|class| open[class])?;
            let Some((place, trial)) = self.choose(now, class, &waiter.ticket) else {
                open[class] = false;
                continue;
            };
            let (_, member, waiter) = self.queue.pop(now, |class| open[class])?;
            let grant = Grant {
                address: self.targets[place].address,
                answered: false,
                charged: waiter.charged,
                class,
                ended: false,
                id: waiter.id,
                member,
                since: now,
                target: self.targets[place].name.clone(),
                trial,
                urgency: waiter.ticket.urgency,
                whole: waiter.ticket.whole,
            };
            self.begin(now, place, &grant);
            self.budget.note_request();
            return Some((waiter.reply, grant));
        }
    }

    /// Chooses the target of a request, and tells whether it goes there as a trial.
    fn choose(&self, now: Instant, class: usize, ticket: &Ticket) -> Option<(usize, bool)> {
        if self.sums.trials
            && let Some(place) = self.find_trial(now, ticket)
        {
            return Some((place, true));
        }
        let avoid = ticket.avoid.as_ref();
        let other = avoid.and_then(|_| self.choose_open(now, class, avoid));
        other.or_else(|| self.choose_open(now, class, None)).map(|place| (place, false))
    }

    fn find_trial(&self, now: Instant, ticket: &Ticket) -> Option<usize> {
        let late = |due: Instant| now.saturating_duration_since(due) >= Self::TRIAL_PATIENCE;
        self.targets.iter().position(|target| {
            let fits = ticket.can_try() || target.ejection.due().is_some_and(late);
            fits && target.wants_trial(now) && ticket.avoid.as_ref() != Some(&target.name)
        })
    }

    fn choose_open(&self, now: Instant, class: usize, avoid: Option<&TargetName>) -> Option<usize> {
        let rule = &self.classes[class];
        choose_target(self.targets.len(), self.next as usize, |place| {
            let target = &self.targets[place];
            if avoid == Some(&target.name) {
                return None;
            }
            target.candidate(now, self.grace, class, rule.bound(target.slots))
        })
    }

    fn begin(&mut self, now: Instant, place: usize, grant: &Grant) {
        let class = &mut self.classes[grant.class];
        class.busy += 1;
        self.busy += 1;
        self.flexible += u32::from(grant.urgency != Urgency::Interactive);
        self.reserve.note(now, self.busy - self.flexible);
        let target = &mut self.targets[place];
        target.begin(grant.class);
        target.latency.begin(now, grant.id, class.reference.filter(|_| grant.whole));
        if grant.trial {
            target.ejection.begin_trial(now);
            self.note_change();
        }
    }

    /// Takes a slot to be lent to another zone, if no request waits. What will run in it is not
    /// known yet, so it counts for a class of its own and tells nothing about times.
    pub(super) fn lend(&mut self, now: Instant) -> Option<Grant> {
        self.refresh(now);
        if !self.queue.is_empty() {
            return None;
        }
        let ticket = Ticket { urgency: Urgency::Interactive, ..Ticket::new("lent", "lent", now) };
        let class = self.class(&ticket);
        let place = self.choose_open(now, class, None)?;
        let grant = Grant {
            address: self.targets[place].address,
            answered: false,
            charged: Duration::ZERO,
            class,
            ended: true,
            id: self.take_id(),
            member: self.members.flow_of(&ticket.member).0,
            since: now,
            target: self.targets[place].name.clone(),
            trial: false,
            urgency: ticket.urgency,
            whole: false,
        };
        self.begin(now, place, &grant);
        Some(grant)
    }

    /// Takes a slot for a second sending of a request, on another target than the first, if the
    /// pool has room and the budget allows it.
    pub(super) fn hedge(&mut self, now: Instant, ticket: &Ticket, first: &Grant) -> Option<Grant> {
        self.refresh(now);
        let class = &self.classes[first.class];
        if !HedgeRule::has_room(self.quick_room()) || !self.is_open(class) {
            return None;
        }
        let place = self.choose_open(now, first.class, Some(&first.target))?;
        if !self.budget.take() {
            return None;
        }
        let charged = self.classes[first.class].times.mean(now);
        self.queue.charge(ticket.urgency, &first.member, charged, Duration::ZERO);
        let grant = Grant {
            address: self.targets[place].address,
            answered: false,
            charged,
            ended: false,
            id: self.take_id(),
            since: now,
            target: self.targets[place].name.clone(),
            trial: false,
            ..first.clone()
        };
        self.begin(now, place, &grant);
        Some(grant)
    }

    /// Time after which a request may be hedged; `None` where it must not be.
    pub(super) fn hedge_delay(&self, ticket: &Ticket) -> Option<Duration> {
        let class = self.classes.iter().find(|class| class.name == ticket.class)?;
        HedgeRule { p95: class.times.p95() }.delay(ticket)
    }

    /// Takes a retry out of the budget, if the pool isn't saturated.
    pub(super) fn take_retry(&mut self, now: Instant, ticket: &Ticket) -> bool {
        self.refresh(now);
        let room = self.quick_room();
        room.free > 0 && !self.queue.has_waiting(ticket.urgency) && self.budget.take()
    }

    /// Notes the head of an answer: the target works, and this is how fast.
    pub(super) fn note_answer(&mut self, now: Instant, grant: &Grant) {
        let time = now.saturating_duration_since(grant.since);
        let Some(target) = self.target(&grant.target) else { return };
        target.backoff.note_success();
        target.slow_start.note_answer(now, target.slots);
        target.latency.end(grant.id);
        if grant.whole {
            self.note_time(now, grant, time);
        }
    }

    /// Records a time of a target and compares it with the others.
    fn note_time(&mut self, now: Instant, grant: &Grant, time: Duration) {
        let class = &mut self.classes[grant.class];
        if class.needs_reference(now) {
            let latencies = self.targets.iter().map(|target| &target.latency);
            class.reference = reference_latency(latencies, grant.class);
        }
        let reference = class.reference;
        let jitter = self.jitter();
        let Some(target) = self.target(&grant.target) else { return };
        if !grant.trial {
            target.latency.record(now, grant.class, time);
            target.latency.compare(grant.class, reference);
            return;
        }
        let limit =
            reference.map_or(f32::MAX, |latency| latency.exp() * RelativeLatency::SLOW_RATIO);
        target.ejection.note_trial(now, time.as_secs_f32() <= limit, jitter);
        if !target.ejection.is_ejected() {
            target.latency.clear();
            target.slow_start.reset();
        }
        self.note_change();
    }

    /// Notes that a target couldn't be reached, or that it shed a request and asked for a pause.
    pub(super) fn note_failure(&mut self, now: Instant, grant: &Grant, shed: Option<Duration>) {
        let jitter = self.jitter();
        let Some(target) = self.target(&grant.target) else { return };
        target.backoff.note_failure(now, shed, jitter);
        if shed.is_some() {
            target.slow_start.shrink(now, target.busy, target.slots);
        }
        self.note_change();
    }

    /// Takes a slot back and charges the member for the time.
    pub(super) fn release(&mut self, now: Instant, grant: &Grant) {
        let held = now.saturating_duration_since(grant.since);
        self.queue.charge(grant.urgency, &grant.member, held, grant.charged);
        self.busy -= 1;
        self.flexible -= u32::from(grant.urgency != Urgency::Interactive);
        self.reserve.note(now, self.busy - self.flexible);
        let class = &mut self.classes[grant.class];
        class.busy -= 1;
        if grant.answered && !grant.trial {
            class.times.record(now, held);
        }
        let reference = class.reference;
        let Some(target) = self.target(&grant.target) else { return };
        target.end(grant.class);
        if !grant.ended {
            target.linger(now);
        }
        target.latency.end(grant.id);
        let is_gone = target.drained && target.busy == 0;
        let limit = reference.map(|latency| latency.exp() * RelativeLatency::SLOW_RATIO);
        let was_late = limit.is_some_and(|limit| held.as_secs_f32() > limit);
        if !grant.answered && grant.whole && was_late {
            self.note_time(now, grant, held);
        }
        if is_gone {
            self.note_change();
        }
    }

    /// When a target opens without any request that ends: the end of a pause or of the grace.
    pub(super) fn next_opening(&self, now: Instant) -> Option<Instant> {
        let pauses = self.targets.iter().filter_map(|target| target.backoff.until());
        let trials = self.targets.iter().filter_map(|target| target.ejection.due());
        let lingering = self.targets.iter().filter_map(|target| target.next_lingered(now));
        pauses.chain(trials).chain(lingering).chain(self.grace).filter(|at| *at > now).min()
    }

    /// Free slots by the last sums.
    fn quick_room(&self) -> PoolRoom {
        let slots = self.sums.slots;
        let free = slots.saturating_sub(self.busy);
        PoolRoom { free, queued: self.queue.len() as u32, slots }
    }

    /// Free slots and waiting requests now, exact.
    pub(super) fn room(&self, now: Instant) -> PoolRoom {
        let limits = self.targets.iter().map(|t| (t.limit(now, self.grace), t.busy));
        let (slots, free) = limits.fold((0, 0), |(slots, free), (limit, busy)| {
            (slots + limit, free + limit.saturating_sub(busy))
        });
        PoolRoom { free, queued: self.queue.len() as u32, slots }
    }

    /// Number of targets that are eased out.
    pub(super) fn eased(&self) -> usize {
        self.targets.iter().filter(|target| target.ejection.is_ejected()).count()
    }
}
