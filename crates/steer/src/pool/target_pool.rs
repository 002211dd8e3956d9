//! The slots of a pool and the requests that wait for one.

use super::{
    HedgeOrigin, Permit, Ticket,
    grant::Grant,
    pool_state::{Place, PoolState},
    pool_target::PoolTarget,
};
use crate::{
    AdmitError, ErrorKind, LoadReport, MemberWeights, PoolRoom, TargetName, TargetSettings,
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

/// Counts the slots of a pool's targets exactly and queues what finds none free.
///
/// Its decisions are plain types of their own: [`AdmissionQueue`](crate::AdmissionQueue) says who is
/// next, [`choose_target`](crate::choose_target) says where to, and the pool holds the counts
/// under one short lock.
#[derive(Debug)]
pub struct TargetPool {
    state: Mutex<PoolState>,
}

impl Default for TargetPool {
    fn default() -> Self {
        Self::new(0)
    }
}

/// Takes a request out of the line when its caller stops waiting.
struct Waiting<'a> {
    place: Place,
    pool: &'a TargetPool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.pool.lock().leave(&self.place);
    }
}

impl TargetPool {
    /// Time after a change of owner in which work of the former owner may still run.
    pub const GRACE: Duration = Duration::from_secs(2);

    /// Makes a pool without targets; the seed sets the jitter of its pauses.
    ///
    /// ```
    /// assert_eq!(steer::TargetPool::new(7).room().slots, 0);
    /// ```
    pub fn new(seed: u64) -> Self {
        Self { state: Mutex::new(PoolState::new(seed)) }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no holder of the pool's lock panics")
    }

    /// Takes the targets from settings; counts of those that stay are kept.
    pub fn set_targets<'a>(
        self: &Arc<Self>,
        targets: impl IntoIterator<Item = (&'a TargetName, &'a TargetSettings, bool)>,
    ) {
        let mut state = self.lock();
        let held = std::mem::take(&mut state.targets);
        let mut held: BTreeMap<TargetName, PoolTarget> =
            held.into_iter().map(|target| (target.name.clone(), target)).collect();
        for (name, settings, drained) in targets {
            let mut target =
                held.remove(name).unwrap_or_else(|| PoolTarget::new(name.clone(), settings));
            target.update(settings, drained);
            state.targets.push(target);
        }
        for mut target in held.into_values().filter(|target| target.busy > 0) {
            target.drained = true;
            state.targets.push(target);
        }
        state.targets.sort_by(|a, b| a.name.cmp(&b.name));
        state.note_change();
        drop(state);
        self.dispatch();
    }

    /// Takes the weights of members from settings.
    pub fn set_members(&self, members: MemberWeights) {
        self.lock().members = members;
    }

    /// Notes that this VM begins to own the pool: until its targets reported, or the grace is
    /// over, half of their slots stay free for what the former owner still runs.
    pub fn take_over(&self) {
        let mut state = self.lock();
        state.grace = Some(Instant::now() + Self::GRACE);
        for target in &mut state.targets {
            target.correction.clear();
        }
        state.note_change();
    }

    /// Takes the load report of a target.
    pub fn take_report(self: &Arc<Self>, target: &TargetName, report: LoadReport) {
        let mut state = self.lock();
        if let Some(target) = state.target(target) {
            target.take_report(Instant::now(), report);
            state.note_change();
        }
        drop(state);
        self.dispatch();
    }

    /// Waits for a slot for as long as the request can still end in time.
    ///
    /// # Errors
    ///
    /// `NoRoom` where the line is full or no target is in service, `DeadlineTooShort` where the
    /// request can't end before its deadline.
    pub async fn admit(self: &Arc<Self>, ticket: &Ticket) -> Result<Permit, AdmitError> {
        let (reply, mut receiver) = oneshot::channel();
        let place = self.lock().enqueue(Instant::now(), ticket, reply)?;
        let waiting = Waiting { place, pool: self };
        self.dispatch();
        let latest = waiting.place.latest;
        loop {
            let opening = self.lock().next_opening(Instant::now());
            let until = opening.map_or(latest, |at| at.min(latest));
            match timeout_at(until, &mut receiver).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => return Err(AdmitError::new(ErrorKind::NoRoom, Duration::ZERO)),
                Err(_) if Instant::now() >= latest => break,
                Err(_) => self.dispatch(),
            }
        }
        Err(AdmitError::new(ErrorKind::DeadlineTooShort, Duration::ZERO))
    }

    /// Takes a slot that is free now and that no request waits for, to be lent to another zone.
    pub fn try_admit(self: &Arc<Self>) -> Option<Permit> {
        let grant = self.lock().lend(Instant::now())?;
        Some(Permit { grant, pool: Arc::clone(self) })
    }

    /// Takes a slot of another target for a hedge, if the pool has room and the budget allows.
    pub fn hedge(self: &Arc<Self>, ticket: &Ticket, first: &HedgeOrigin) -> Option<Permit> {
        let grant = self.lock().hedge(Instant::now(), ticket, &first.0)?;
        Some(Permit { grant, pool: Arc::clone(self) })
    }

    /// Time after which a request may be hedged; `None` where it must not be.
    pub fn hedge_delay(&self, ticket: &Ticket) -> Option<Duration> {
        self.lock().hedge_delay(ticket)
    }

    /// Takes a retry out of the budget; `false` where it is spent or the pool is saturated.
    pub fn take_retry(&self, ticket: &Ticket) -> bool {
        self.lock().take_retry(Instant::now(), ticket)
    }

    /// Free slots and waiting requests now.
    pub fn room(&self) -> PoolRoom {
        self.lock().room(Instant::now())
    }

    /// Number of targets that are eased out.
    pub fn eased(&self) -> usize {
        self.lock().eased()
    }

    pub(super) fn note_answer(&self, grant: &Grant) {
        self.lock().note_answer(Instant::now(), grant);
    }

    pub(super) fn note_failure(&self, grant: &Grant, shed: Option<Duration>) {
        self.lock().note_failure(Instant::now(), grant, shed);
    }

    pub(super) fn release(self: &Arc<Self>, grant: &Grant) {
        self.lock().release(Instant::now(), grant);
        self.dispatch();
    }

    fn dispatch(self: &Arc<Self>) {
        let now = Instant::now();
        loop {
            let Some((reply, grant)) = self.lock().next_grant(now) else { return };
            let permit = Permit { grant, pool: Arc::clone(self) };
            // A caller that went away drops the receiver; the permit comes back and is
            // released, which frees the slot for the next in the line.
            drop(reply.send(Ok(permit)));
        }
    }
}
