//! A pool of targets: slot counts, admission and target choice.

use super::{
    HedgedAttempt, Permit, SlotRequest,
    grant::Grant,
    pool_state::{PoolState, QueuePosition},
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

/// Counts the slots of a pool's targets exactly, and queues requests while no slot is free.
///
/// The decisions are separate types without locks: [`AdmissionQueue`](crate::AdmissionQueue) orders
/// the requests and [`choose_target`](crate::choose_target) selects the target. The pool keeps the
/// counts under one lock, which is held only briefly.
#[derive(Debug)]
pub struct TargetPool {
    state: Mutex<PoolState>,
}

impl Default for TargetPool {
    fn default() -> Self {
        Self::new(0)
    }
}

/// Removes a request from the queue when its caller stops waiting.
struct QueueGuard<'a> {
    pool: &'a TargetPool,
    position: QueuePosition,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.pool.lock().remove_request(&self.position);
    }
}

impl TargetPool {
    /// Time after a change of owner in which requests of the former owner may still run.
    pub const GRACE_PERIOD: Duration = Duration::from_secs(2);

    /// Creates a pool without targets; `seed` seeds the jitter of its pauses.
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

    /// Applies the targets from the settings. Targets that remain keep their state; removed ones are
    /// drained and stay in the pool until their requests have ended.
    pub fn set_targets<'a>(
        self: &Arc<Self>,
        targets: impl IntoIterator<Item = (&'a TargetName, &'a TargetSettings, bool)>,
    ) {
        let mut state = self.lock();
        let previous = std::mem::take(&mut state.targets);
        let mut previous: BTreeMap<TargetName, PoolTarget> =
            previous.into_iter().map(|target| (target.name.clone(), target)).collect();
        for (name, settings, drained) in targets {
            let mut target =
                previous.remove(name).unwrap_or_else(|| PoolTarget::new(name.clone(), settings));
            target.update(settings, drained);
            state.targets.push(target);
        }
        for mut target in previous.into_values().filter(|target| target.busy > 0) {
            target.drained = true;
            state.targets.push(target);
        }
        state.targets.sort_by(|a, b| a.name.cmp(&b.name));
        state.invalidate();
        drop(state);
        self.dispatch();
    }

    /// Applies the member weights from the settings.
    pub fn set_members(&self, members: MemberWeights) {
        self.lock().members = members;
    }

    /// Records that this VM becomes the owner of the pool. Until a target has reported, or the
    /// grace period is over, half of its slots stay free for requests of the former owner that may
    /// still run.
    pub fn take_over(&self) {
        let mut state = self.lock();
        state.grace = Some(Instant::now() + Self::GRACE_PERIOD);
        for target in &mut state.targets {
            target.correction.clear();
        }
        state.invalidate();
    }

    /// Processes the load report of a target.
    pub fn apply_report(self: &Arc<Self>, target: &TargetName, report: LoadReport) {
        let mut state = self.lock();
        if let Some(target) = state.target_mut(target) {
            target.apply_report(Instant::now(), report);
            state.invalidate();
        }
        drop(state);
        self.dispatch();
    }

    /// Waits for a slot for as long as the request can still meet its deadline.
    ///
    /// # Errors
    ///
    /// `NoRoom` if the queue is full or no target is in service, `DeadlineTooShort` if the request
    /// can't end before its deadline.
    pub async fn admit(self: &Arc<Self>, request: &SlotRequest) -> Result<Permit, AdmitError> {
        let (reply, mut receiver) = oneshot::channel();
        let position = self.lock().enqueue(Instant::now(), request, reply)?;
        let guard = QueueGuard { pool: self, position };
        self.dispatch();
        let latest = guard.position.latest;
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

    /// Grants a free slot for use by another zone, if no request waits here.
    pub fn try_admit_remote(self: &Arc<Self>) -> Option<Permit> {
        let grant = self.lock().grant_remote(Instant::now())?;
        Some(Permit { grant, pool: Arc::clone(self) })
    }

    /// Grants a hedge a slot of another target, if the pool has free slots and the retry budget
    /// allows it.
    pub fn admit_hedge(
        self: &Arc<Self>,
        request: &SlotRequest,
        first: &HedgedAttempt,
    ) -> Option<Permit> {
        let grant = self.lock().admit_hedge(Instant::now(), request, &first.0)?;
        Some(Permit { grant, pool: Arc::clone(self) })
    }

    /// Delay before a request may be hedged; `None` if it must not be.
    pub fn hedge_delay(&self, request: &SlotRequest) -> Option<Duration> {
        self.lock().hedge_delay(request)
    }

    /// Charges a retry to the budget; `false` if the budget is spent or the pool is saturated.
    pub fn try_acquire_retry(&self, request: &SlotRequest) -> bool {
        self.lock().try_acquire_retry(Instant::now(), request)
    }

    /// Current number of free slots and waiting requests.
    pub fn room(&self) -> PoolRoom {
        self.lock().room(Instant::now())
    }

    /// Number of ejected targets.
    pub fn ejected(&self) -> usize {
        self.lock().ejected()
    }

    pub(super) fn record_response(&self, grant: &Grant) {
        self.lock().record_response(Instant::now(), grant);
    }

    pub(super) fn record_failure(&self, grant: &Grant, shed: Option<Duration>) {
        self.lock().record_failure(Instant::now(), grant, shed);
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
            // If the caller has disconnected, the send returns the permit, and dropping it releases
            // the slot for the next request.
            drop(reply.send(Ok(permit)));
        }
    }
}
