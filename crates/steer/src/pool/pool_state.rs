//! The targets, classes and waiting requests of a pool, all under one lock.

use super::{SlotRequest, grant::Grant, pool_class::PoolClass, pool_target::PoolTarget};
use crate::{
    AdmissionQueue, AdmitError, ErrorKind, HedgeRule, InteractiveReserve, MemberName,
    MemberWeights, OutlierEjection, PoolRoom, QueueSpace, RelativeLatency, RetryBudget, TargetName,
    Urgency, choose_target, idle_reserve, reference_latency,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::{sync::oneshot, time::Instant};

/// Channel for the result of a request's wait.
pub(super) type AdmitReply = oneshot::Sender<Result<super::Permit, AdmitError>>;

/// A waiting request.
#[derive(Debug)]
struct PoolWaiter {
    /// Expected slot time, charged to the member on the grant.
    charged: Duration,
    id: u64,
    reply: AdmitReply,
    request: SlotRequest,
}

/// The position of a waiting request in the queue.
#[derive(Clone, Debug)]
pub(super) struct QueuePosition {
    class: usize,
    id: u64,
    /// Latest time at which the request can start and still meet its deadline.
    pub(super) latest: Instant,
    member: MemberName,
    urgency: Urgency,
}

/// Cached totals over the targets, recomputed after a change and every few milliseconds.
#[derive(Debug, Default)]
struct PoolTotals {
    computed_at: Option<Instant>,
    /// Number of targets in service.
    in_service: usize,
    /// Number of usable slots.
    slots: u32,
    /// A target is ready for a trial request.
    trials: bool,
}

#[derive(Debug)]
pub(super) struct PoolState {
    budget: RetryBudget,
    busy: u32,
    classes: Vec<PoolClass>,
    /// End of the grace period after a change of owner.
    pub(super) grace: Option<Instant>,
    pub(super) members: MemberWeights,
    last_id: u64,
    /// Slots in use by requests that aren't interactive.
    non_interactive: u32,
    queue: AdmissionQueue<PoolWaiter>,
    reserve: InteractiveReserve,
    rng: StdRng,
    /// Sorted by name.
    pub(super) targets: Vec<PoolTarget>,
    totals: PoolTotals,
}

impl PoolState {
    /// Time after which the totals are recomputed if nothing changes.
    const TOTALS_AGE: Duration = Duration::from_millis(5);
    /// Time for which a due trial waits for a suitable request before it takes any request.
    const TRIAL_WAIT: Duration = Duration::from_secs(2);

    pub(super) fn new(seed: u64) -> Self {
        Self {
            budget: RetryBudget::default(),
            busy: 0,
            classes: Vec::new(),
            grace: None,
            members: MemberWeights::default(),
            last_id: 0,
            non_interactive: 0,
            queue: AdmissionQueue::new(),
            reserve: InteractiveReserve::default(),
            rng: StdRng::seed_from_u64(seed),
            targets: Vec::new(),
            totals: PoolTotals::default(),
        }
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.0)
    }

    pub(super) fn target_mut(&mut self, name: &TargetName) -> Option<&mut PoolTarget> {
        let index = self.targets.binary_search_by(|target| target.name.cmp(name)).ok()?;
        Some(&mut self.targets[index])
    }

    /// The index of a request's class, whose settings are updated from the request.
    fn class_index(&mut self, request: &SlotRequest) -> usize {
        if let Some(index) = self.classes.iter().position(|class| class.name == request.class) {
            let class = &mut self.classes[index];
            (class.share, class.urgency) = (request.slot_share, request.urgency);
            return index;
        }
        self.classes.push(PoolClass::new(request));
        self.classes.len() - 1
    }

    /// Invalidates the cached totals.
    pub(super) fn invalidate(&mut self) {
        self.totals.computed_at = None;
    }

    /// Ejects slow targets and recomputes the totals, if the totals are stale.
    fn refresh(&mut self, now: Instant) {
        if self
            .totals
            .computed_at
            .is_some_and(|at| now.saturating_duration_since(at) < Self::TOTALS_AGE)
        {
            return;
        }
        self.eject_slow(now);
        let in_service = self.targets.iter().filter(|target| target.is_in_service());
        self.totals = PoolTotals {
            computed_at: Some(now),
            in_service: in_service.clone().count(),
            slots: in_service.map(|target| target.limit(now, self.grace)).sum(),
            trials: self.targets.iter().any(|target| target.wants_trial(now)),
        };
    }

    fn eject_slow(&mut self, now: Instant) {
        let in_service = self.targets.iter().filter(|t| t.is_in_service());
        let max = OutlierEjection::max_ejected(in_service.clone().count());
        let mut ejected = in_service.filter(|t| t.ejection.is_ejected()).count();
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            target.latency.expire(now);
            let slow = target.is_in_service() && target.latency.is_slow(now);
            if ejected >= max || !slow || target.ejection.is_ejected() {
                continue;
            }
            let jitter = self.jitter();
            self.targets[index].ejection.eject(now, jitter);
            ejected += 1;
        }
    }

    /// Adds a request to the queue, if it can be served in time and the queue has space.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        request: &SlotRequest,
        reply: AdmitReply,
    ) -> Result<QueuePosition, AdmitError> {
        self.refresh(now);
        if self.totals.in_service == 0 {
            return Err(AdmitError::new(ErrorKind::NoRoom, Duration::ZERO));
        }
        let class = self.class_index(request);
        let (member, weight) = self.members.flow_of(&request.member);
        let cost = self.classes[class].times.mean(now);
        let slots = self.classes[class].bound(self.totals.slots);
        let wait = self.queue.expected_wait(request.urgency, &member, weight, slots);
        let latest = request.deadline.checked_sub(cost).filter(|latest| *latest >= now + wait);
        let Some(latest) = latest else {
            return Err(AdmitError::new(ErrorKind::DeadlineTooShort, wait));
        };
        let full = AdmitError::new(ErrorKind::NoRoom, wait);
        match self.queue.make_space(now, request.urgency, &member, slots) {
            QueueSpace::Free => {}
            QueueSpace::Full => return Err(full),
            // The send fails if the caller of the evicted request has disconnected; this needs no
            // handling.
            QueueSpace::Evicted(waiter) => drop(waiter.reply.send(Err(full))),
        }
        let id = self.next_id();
        let urgency = request.urgency;
        let waiter = PoolWaiter { charged: cost, id, reply, request: request.clone() };
        self.queue.push(now, urgency, class, &member, weight, cost, id, waiter);
        Ok(QueuePosition { class, id, latest, member, urgency })
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Removes a request from the queue; does nothing if it was already granted a slot.
    pub(super) fn remove_request(&mut self, position: &QueuePosition) {
        self.queue.remove(position.urgency, position.class, &position.member, position.id);
    }

    /// Whether a class may take one more slot of the pool.
    fn is_eligible(&self, class: &PoolClass) -> bool {
        let slots = self.totals.slots;
        if class.busy >= class.bound(slots) {
            return false;
        }
        let has_interactive = || self.classes.iter().any(|c| c.urgency == Urgency::Interactive);
        match class.urgency {
            Urgency::Interactive => true,
            Urgency::Bulk => {
                self.non_interactive + self.reserve.slots(slots) < slots || !has_interactive()
            }
            Urgency::Deferrable => self.busy + idle_reserve(slots) < slots,
        }
    }

    /// Grants a free slot to the next waiting request, if there are both.
    pub(super) fn next_grant(&mut self, now: Instant) -> Option<(AdmitReply, Grant)> {
        if self.queue.is_empty() {
            return None;
        }
        self.refresh(now);
        let mut eligible: Vec<bool> =
            self.classes.iter().map(|class| self.is_eligible(class)).collect();
        loop {
            let (class, waiter) = self.queue.peek(|class| eligible[class])?;
            let Some((index, trial)) = self.choose_target_or_trial(now, class, &waiter.request)
            else {
                eligible[class] = false;
                continue;
            };
            let (_, member, waiter) = self.queue.pop(now, |class| eligible[class])?;
            let grant = Grant {
                address: self.targets[index].address,
                answered: false,
                charged: waiter.charged,
                class,
                ended: false,
                id: waiter.id,
                member,
                granted_at: now,
                target: self.targets[index].name.clone(),
                trial,
                urgency: waiter.request.urgency,
                buffered: waiter.request.buffered,
            };
            self.begin_request(now, index, &grant);
            self.budget.record_request();
            return Some((waiter.reply, grant));
        }
    }

    /// Chooses the target of a request, and returns whether the request is a trial.
    fn choose_target_or_trial(
        &self,
        now: Instant,
        class: usize,
        request: &SlotRequest,
    ) -> Option<(usize, bool)> {
        if self.totals.trials
            && let Some(index) = self.find_trial(now, request)
        {
            return Some((index, true));
        }
        let avoid = request.avoid.as_ref();
        let preferred = avoid.and_then(|_| self.choose_target(now, class, avoid));
        preferred.or_else(|| self.choose_target(now, class, None)).map(|index| (index, false))
    }

    fn find_trial(&self, now: Instant, request: &SlotRequest) -> Option<usize> {
        let is_overdue = |due: Instant| now.saturating_duration_since(due) >= Self::TRIAL_WAIT;
        self.targets.iter().position(|target| {
            let is_suitable =
                request.can_be_trial() || target.ejection.due().is_some_and(is_overdue);
            is_suitable && target.wants_trial(now) && request.avoid.as_ref() != Some(&target.name)
        })
    }

    fn choose_target(
        &self,
        now: Instant,
        class: usize,
        avoid: Option<&TargetName>,
    ) -> Option<usize> {
        let settings = &self.classes[class];
        choose_target(self.targets.len(), self.last_id as usize, |index| {
            let target = &self.targets[index];
            if avoid == Some(&target.name) {
                return None;
            }
            target.candidate(now, self.grace, class, settings.bound(target.slots))
        })
    }

    fn begin_request(&mut self, now: Instant, index: usize, grant: &Grant) {
        let class = &mut self.classes[grant.class];
        class.busy += 1;
        self.busy += 1;
        self.non_interactive += u32::from(grant.urgency != Urgency::Interactive);
        self.reserve.record(now, self.busy - self.non_interactive);
        let target = &mut self.targets[index];
        target.begin_request(grant.class);
        target.latency.begin_request(now, grant.id, class.reference.filter(|_| grant.buffered));
        if grant.trial {
            target.ejection.begin_trial(now);
            self.invalidate();
        }
    }

    /// Grants a slot for use by another zone, if no request waits here. The request that will use
    /// the slot is unknown, so the slot counts for a separate class and yields no latency samples.
    pub(super) fn grant_remote(&mut self, now: Instant) -> Option<Grant> {
        self.refresh(now);
        if !self.queue.is_empty() {
            return None;
        }
        let request =
            SlotRequest { urgency: Urgency::Interactive, ..SlotRequest::new("lent", "lent", now) };
        let class = self.class_index(&request);
        let index = self.choose_target(now, class, None)?;
        let grant = Grant {
            address: self.targets[index].address,
            answered: false,
            charged: Duration::ZERO,
            class,
            ended: true,
            id: self.next_id(),
            member: self.members.flow_of(&request.member).0,
            granted_at: now,
            target: self.targets[index].name.clone(),
            trial: false,
            urgency: request.urgency,
            buffered: false,
        };
        self.begin_request(now, index, &grant);
        Some(grant)
    }

    /// Grants a hedge a slot of another target than the first attempt's, if the pool has free slots
    /// and the retry budget allows it.
    pub(super) fn admit_hedge(
        &mut self,
        now: Instant,
        request: &SlotRequest,
        first: &Grant,
    ) -> Option<Grant> {
        self.refresh(now);
        let class = &self.classes[first.class];
        if !HedgeRule::has_room(self.cached_room()) || !self.is_eligible(class) {
            return None;
        }
        let index = self.choose_target(now, first.class, Some(&first.target))?;
        if !self.budget.try_acquire() {
            return None;
        }
        let charged = self.classes[first.class].times.mean(now);
        self.queue.charge(request.urgency, &first.member, charged, Duration::ZERO);
        let grant = Grant {
            address: self.targets[index].address,
            answered: false,
            charged,
            ended: false,
            id: self.next_id(),
            granted_at: now,
            target: self.targets[index].name.clone(),
            trial: false,
            ..first.clone()
        };
        self.begin_request(now, index, &grant);
        Some(grant)
    }

    /// Delay before a request may be hedged; `None` if it must not be.
    pub(super) fn hedge_delay(&self, request: &SlotRequest) -> Option<Duration> {
        let class = self.classes.iter().find(|class| class.name == request.class)?;
        HedgeRule { p95: class.times.p95() }.delay(request)
    }

    /// Charges a retry to the budget, if the pool isn't saturated; returns whether it may be sent.
    pub(super) fn try_acquire_retry(&mut self, now: Instant, request: &SlotRequest) -> bool {
        self.refresh(now);
        let room = self.cached_room();
        room.free > 0 && !self.queue.has_waiting(request.urgency) && self.budget.try_acquire()
    }

    /// Records the head of a response, which ends a backoff and, for a buffered request, yields a
    /// latency sample.
    pub(super) fn record_response(&mut self, now: Instant, grant: &Grant) {
        let time = now.saturating_duration_since(grant.granted_at);
        let Some(target) = self.target_mut(&grant.target) else { return };
        target.backoff.record_success();
        target.slow_start.record_response(now, target.slots);
        target.latency.end_request(grant.id);
        if grant.buffered {
            self.record_time(now, grant, time);
        }
    }

    /// Records a latency sample of a target and compares the target with the others.
    fn record_time(&mut self, now: Instant, grant: &Grant, time: Duration) {
        let class = &mut self.classes[grant.class];
        if class.needs_reference(now) {
            let latencies = self.targets.iter().map(|target| &target.latency);
            class.reference = reference_latency(latencies, grant.class);
        }
        let reference = class.reference;
        let jitter = self.jitter();
        let Some(target) = self.target_mut(&grant.target) else { return };
        if !grant.trial {
            target.latency.record_latency(now, grant.class, time);
            target.latency.update_ratio(grant.class, reference);
            return;
        }
        let limit =
            reference.map_or(f32::MAX, |latency| latency.exp() * RelativeLatency::SLOW_RATIO);
        target.ejection.record_trial(now, time.as_secs_f32() <= limit, jitter);
        if !target.ejection.is_ejected() {
            target.latency.clear();
            target.slow_start.reset();
        }
        self.invalidate();
    }

    /// Records that a target was unreachable, or that it shed a request, with the requested pause.
    pub(super) fn record_failure(&mut self, now: Instant, grant: &Grant, shed: Option<Duration>) {
        let jitter = self.jitter();
        let Some(target) = self.target_mut(&grant.target) else { return };
        target.backoff.record_failure(now, shed, jitter);
        if shed.is_some() {
            target.slow_start.shrink(now, target.busy, target.slots);
        }
        self.invalidate();
    }

    /// Releases a slot and charges the member for the time that it was held.
    pub(super) fn release(&mut self, now: Instant, grant: &Grant) {
        let held = now.saturating_duration_since(grant.granted_at);
        self.queue.charge(grant.urgency, &grant.member, held, grant.charged);
        self.busy -= 1;
        self.non_interactive -= u32::from(grant.urgency != Urgency::Interactive);
        self.reserve.record(now, self.busy - self.non_interactive);
        let class = &mut self.classes[grant.class];
        class.busy -= 1;
        if grant.answered && !grant.trial {
            class.times.record(now, held);
        }
        let reference = class.reference;
        let Some(target) = self.target_mut(&grant.target) else { return };
        target.end_request(grant.class);
        if !grant.ended {
            target.hold_cancelled(now);
        }
        target.latency.end_request(grant.id);
        let is_gone = target.drained && target.busy == 0;
        let limit = reference.map(|latency| latency.exp() * RelativeLatency::SLOW_RATIO);
        let was_late = limit.is_some_and(|limit| held.as_secs_f32() > limit);
        if !grant.answered && grant.buffered && was_late {
            self.record_time(now, grant, held);
        }
        if is_gone {
            self.invalidate();
        }
    }

    /// When slots next become usable, apart from the end of a request: at the end of a pause or of
    /// the grace period, when a trial is due, or when the slot of a cancelled request becomes free.
    pub(super) fn next_opening(&self, now: Instant) -> Option<Instant> {
        let pauses = self.targets.iter().filter_map(|target| target.backoff.until());
        let trials = self.targets.iter().filter_map(|target| target.ejection.due());
        let cancelled = self.targets.iter().filter_map(|target| target.next_cancelled(now));
        pauses.chain(trials).chain(cancelled).chain(self.grace).filter(|at| *at > now).min()
    }

    /// Free slots and waiting requests, from the cached totals.
    fn cached_room(&self) -> PoolRoom {
        let slots = self.totals.slots;
        let free = slots.saturating_sub(self.busy);
        PoolRoom { free, queued: self.queue.len() as u32, slots }
    }

    /// Free slots and waiting requests, recomputed from the targets.
    pub(super) fn room(&self, now: Instant) -> PoolRoom {
        let limits = self.targets.iter().map(|t| (t.limit(now, self.grace), t.busy));
        let (slots, free) = limits.fold((0, 0), |(slots, free), (limit, busy)| {
            (slots + limit, free + limit.saturating_sub(busy))
        });
        PoolRoom { free, queued: self.queue.len() as u32, slots }
    }

    /// Number of ejected targets.
    pub(super) fn ejected(&self) -> usize {
        self.targets.iter().filter(|target| target.ejection.is_ejected()).count()
    }
}
