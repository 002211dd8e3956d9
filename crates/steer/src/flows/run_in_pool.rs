//! Runs a request on a target of a pool that this VM owns.

use super::{
    Attempt, AttemptError, Call, OUTCOME_HEADER, Refusal, Sent, Unsent, send_guard::SendGuard,
};
use crate::{
    AdmitError, Body, BufferedRequest, EntryNode, ErrorKind, Outcome, Permit, PoolKey, RepeatRule,
    SlotRequest, TargetPool, VmState, hold_until_end,
};
use futures_util::future::{Either, select};
use http::{Response, StatusCode, header::RETRY_AFTER};
use slog::warn;
use std::{
    future::pending,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 3;

/// Why a request in a pool got no response from a target.
#[derive(Debug)]
pub(super) enum PoolExit {
    /// The record of the request's key provides the response.
    Answered(Box<Response<Body>>),
    /// This VM began to drain while the request waited for a slot.
    Moved(Attempt<Unsent>),
    /// The request is refused.
    Refused(Refusal),
}

/// How an attempt on one target failed.
enum Failure {
    /// Nothing was sent.
    NotSent(Attempt<Unsent>),
    /// The request must not be sent; holds the answer to give instead.
    Ended(Box<Result<Response<Body>, Refusal>>),
    /// The target refused the request without running it; holds the pause from its `Retry-After`.
    Refused(Duration),
    /// No usable answer arrived; the request may have run.
    Lost(Attempt<Sent>, ErrorKind),
}

/// State of one request in a pool, including what a further attempt needs.
struct PoolRun<'a> {
    call: &'a Call,
    /// Keeps an unused claim to a key from one attempt to the next.
    guard: Mutex<Option<SendGuard<'a>>>,
    node: &'a EntryNode,
    pool: Arc<TargetPool>,
    buffered: Option<BufferedRequest>,
    slot_request: SlotRequest,
}

/// Waits for a slot of a pool that this VM owns and sends the request to the slot's target. Retries
/// on another target if that is safe and the retry budget allows it. If `slot` is given, the first
/// attempt uses it and doesn't queue. If `may_move` is set and this VM begins to drain, a request
/// that still waits leaves the pool.
pub(super) async fn run_in_pool(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    key: &PoolKey,
    mut slot: Option<Permit>,
    may_move: bool,
) -> Result<Response<Body>, PoolExit> {
    let (buffered, mut attempt) =
        read_buffered(node, call, attempt).await.map_err(PoolExit::Refused)?;
    let bodyless = buffered.as_ref().is_some_and(BufferedRequest::is_bodyless);
    let slot_request = call.slot_request().bodyless(bodyless).buffered(buffered.is_some());
    let guard = Mutex::default();
    let mut run = PoolRun { call, guard, node, pool: node.pool(key), buffered, slot_request };
    if slot.is_none() {
        attempt = run.claim_early(attempt).await?;
    }
    let mut lost: Option<(Attempt<Sent>, ErrorKind)> = None;
    for _ in 0..MAX_ATTEMPTS {
        let admitted = tokio::select! {
            biased;
            admitted = run.admit(slot.take()) => admitted,
            () = wait_until_draining(node), if may_move && lost.is_none() => {
                run.release_claim().await;
                return Err(PoolExit::Moved(attempt));
            }
        };
        let permit = match admitted {
            Ok(permit) => permit,
            Err(error) => return Err(run.refuse(attempt, lost, error).await),
        };
        run.slot_request.avoid = Some(permit.target().clone());
        match run.send_hedged(attempt, permit).await {
            Ok(response) => return Ok(response),
            Err(Failure::Ended(answer)) => {
                return match lost {
                    Some((sent, kind)) => Err(PoolExit::Refused(sent.refuse_unknown(kind))),
                    None => answer.map_err(PoolExit::Refused),
                };
            }
            Err(Failure::NotSent(unsent)) => attempt = unsent,
            Err(Failure::Refused(pause)) => match run.retry() {
                Some(retry) => attempt = retry,
                None => {
                    run.release_claim().await;
                    return Err(PoolExit::Refused(build_target_refusal(lost, pause)));
                }
            },
            Err(Failure::Lost(sent, kind)) => match run.retry_lost(kind) {
                Some(retry) => {
                    attempt = retry;
                    lost = Some((sent, kind));
                }
                None => return Err(PoolExit::Refused(sent.refuse_unknown(kind))),
            },
        }
    }
    let error = AdmitError::new(ErrorKind::NoRoom, Duration::ZERO);
    Err(run.refuse(attempt, lost, error).await)
}

/// Buffers a small body, so that the request can be sent again.
async fn read_buffered(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
) -> Result<(Option<BufferedRequest>, Attempt<Unsent>), Refusal> {
    let reading = BufferedRequest::read(attempt.into_request(), node.buffer_budget());
    match timeout_at(call.deadline, reading).await {
        Err(_) => Err(ErrorKind::CallerSlow.into()),
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::RequestInvalid, error.to_string())),
        Ok(Ok(Err(request))) => Ok((None, Attempt::new(request))),
        Ok(Ok(Ok(buffered))) => {
            let attempt = Attempt::new(buffered.request());
            Ok((Some(buffered), attempt))
        }
    }
}

/// Builds a refusal, with outcome "not run" only if no earlier attempt may have run the request.
fn build_refusal(
    attempt: Attempt<Unsent>,
    lost: Option<(Attempt<Sent>, ErrorKind)>,
    error: AdmitError,
) -> Refusal {
    match lost {
        Some((sent, kind)) => sent.refuse_unknown(kind),
        None => error.add_retry_after(attempt.refuse_not_run(error.kind)),
    }
}

/// Builds a refusal for a request that a target refused without running it.
fn build_target_refusal(lost: Option<(Attempt<Sent>, ErrorKind)>, pause: Duration) -> Refusal {
    match lost {
        Some((sent, kind)) => sent.refuse_unknown(kind),
        None => AdmitError::new(ErrorKind::TargetRefused, pause)
            .add_retry_after(ErrorKind::TargetRefused.into()),
    }
}

impl<'a> PoolRun<'a> {
    /// Returns the guard kept by an earlier attempt, or a new one.
    fn take_guard(&self) -> SendGuard<'a> {
        let mut kept = self.guard.lock().expect("no holder of the guard's lock panics");
        kept.take().unwrap_or_else(|| SendGuard::new(self.node, self.call))
    }

    /// Keeps the guard of an attempt that sent nothing or whose target didn't run the request.
    fn keep_guard(&self, mut guard: SendGuard<'a>) {
        guard.mark_unsent();
        *self.guard.lock().expect("no holder of the guard's lock panics") = Some(guard);
    }

    /// Claims the key of an at-most-once request before the request waits for a slot, so that no
    /// slot is occupied while the platform answers.
    async fn claim_early(&self, attempt: Attempt<Unsent>) -> Result<Attempt<Unsent>, PoolExit> {
        let mut guard = self.take_guard();
        match guard.claim_early(attempt).await {
            Ok(attempt) => {
                self.keep_guard(guard);
                Ok(attempt)
            }
            Err(answer) => answer.map_or_else(
                |refusal| Err(PoolExit::Refused(refusal)),
                |response| Err(PoolExit::Answered(Box::new(response))),
            ),
        }
    }

    /// Releases a claim that no attempt has used.
    async fn release_claim(&self) {
        self.take_guard().release_unused().await;
    }

    async fn refuse(
        &self,
        attempt: Attempt<Unsent>,
        lost: Option<(Attempt<Sent>, ErrorKind)>,
        error: AdmitError,
    ) -> PoolExit {
        self.release_claim().await;
        PoolExit::Refused(build_refusal(attempt, lost, error))
    }

    fn count(&self, name: &str) {
        self.node.ports().meter.count(name, 1);
    }

    /// Waits for admission, unless the request already holds a slot.
    async fn admit(&self, slot: Option<Permit>) -> Result<Permit, AdmitError> {
        if let Some(mut permit) = slot {
            permit.record_sending();
            return Ok(permit);
        }
        let start = Instant::now();
        let result = self.pool.admit(&self.slot_request).await;
        self.node.ports().meter.time("admission.wait", start.elapsed());
        match &result {
            Ok(_) => self.count("admission.granted"),
            Err(error) => self.count(&format!("admission.refused.{}", error.kind.slug())),
        }
        result
    }

    /// Creates a further attempt if the body is buffered and the retry budget allows it.
    fn retry(&self) -> Option<Attempt<Unsent>> {
        let buffered = self.buffered.as_ref()?;
        if !self.pool.try_acquire_retry(&self.slot_request) {
            self.count("retry.denied");
            return None;
        }
        self.count("retry.sent");
        Some(Attempt::new(buffered.request()))
    }

    /// Creates a further attempt for a request that may have run, which is safe only if it is
    /// idempotent.
    fn retry_lost(&self, kind: ErrorKind) -> Option<Attempt<Unsent>> {
        let retryable =
            self.slot_request.repeat == RepeatRule::Idempotent && kind == ErrorKind::TargetFailed;
        if retryable { self.retry() } else { None }
    }

    /// Sends the request, and a hedge to a second target if the answer is late. The first answer is
    /// used; dropping the other attempt cancels it.
    async fn send_hedged(
        &self,
        attempt: Attempt<Unsent>,
        permit: Permit,
    ) -> Result<Response<Body>, Failure> {
        let delay = self.pool.hedge_delay(&self.slot_request);
        let Some((delay, buffered)) = delay.zip(self.buffered.as_ref()) else {
            return self.send(attempt, permit).await;
        };
        let start = Instant::now();
        let hedged = permit.hedged_attempt();
        let mut first = pin!(self.send(attempt, permit));
        if let Ok(result) = timeout(delay, &mut first).await {
            return result;
        }
        let Some(permit) = self.pool.admit_hedge(&self.slot_request, &hedged) else {
            return first.await;
        };
        self.count("hedge.sent");
        let second = pin!(self.send(Attempt::new(buffered.request()), permit));
        match select(first, second).await {
            Either::Left((Ok(response), _)) => Ok(response),
            Either::Right((Ok(response), _)) => {
                self.count("hedge.won");
                self.node.ports().meter.time("hedge.time", start.elapsed());
                Ok(response)
            }
            Either::Left((Err(failure), second)) => {
                second.await.map_err(|e| more_severe(failure, e))
            }
            Either::Right((Err(failure), first)) => {
                first.await.map_err(|e| more_severe(e, failure))
            }
        }
    }

    /// Sends the request to the target of a permit.
    async fn send(
        &self,
        attempt: Attempt<Unsent>,
        mut permit: Permit,
    ) -> Result<Response<Body>, Failure> {
        let targets = &*self.node.ports().targets;
        let mut guard = self.take_guard();
        let cleared = match guard.clear(attempt, permit.target()).await {
            Ok(cleared) => cleared,
            Err(answer) => return Err(Failure::Ended(Box::new(answer))),
        };
        let sending = cleared.send(targets, permit.address(), self.call.time_left());
        let answered = match sending.await {
            Ok(answered) => answered,
            Err(AttemptError::NotSent(unsent, reason)) => {
                self.keep_guard(guard);
                permit.record_unreachable();
                self.count("target.unreachable");
                warn!(self.node.log(), "request: target is unreachable";
                    "target" => %permit.target(), "reason" => reason);
                return Err(Failure::NotSent(unsent));
            }
            Err(AttemptError::Sent(sent, kind)) => {
                let kind = guard.on_failure(kind);
                if kind == ErrorKind::TargetFailed {
                    permit.record_unreachable();
                    self.count("target.failed");
                }
                return Err(Failure::Lost(sent, kind));
            }
        };
        if let Some(pause) = refusal_pause(answered.response()) {
            self.keep_guard(guard);
            permit.record_shed(pause);
            self.count("target.shed");
            return Err(Failure::Refused(pause.unwrap_or_default()));
        }
        permit.record_response();
        let response = guard.on_answer(answered).await;
        Ok(response.map(|body| hold_until_end(body, permit)))
    }
}

/// Returns the failure that determines the reported outcome. A failure after which the request may
/// have run takes precedence over the others.
fn more_severe(a: Failure, b: Failure) -> Failure {
    match (a, b) {
        (Failure::Lost(sent, kind), _) | (_, Failure::Lost(sent, kind)) => {
            Failure::Lost(sent, kind)
        }
        (Failure::Refused(pause), _) | (_, Failure::Refused(pause)) => Failure::Refused(pause),
        (Failure::NotSent(unsent), _) | (_, Failure::NotSent(unsent)) => Failure::NotSent(unsent),
        (ended, _) => ended,
    }
}

/// Returns `None` unless the target refused the request without running it; otherwise the pause
/// from its `Retry-After` header, if any.
fn refusal_pause(response: &Response<Body>) -> Option<Option<Duration>> {
    let headers = response.headers();
    let outcome = headers.get(OUTCOME_HEADER)?.to_str().ok()?;
    let refused = Outcome::parse(outcome) == Some(Outcome::NotRun);
    if response.status() != StatusCode::SERVICE_UNAVAILABLE || !refused {
        return None;
    }
    let pause = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    Some(pause.map(Duration::from_secs))
}

/// Waits until this VM drains.
pub(super) async fn wait_until_draining(node: &EntryNode) {
    let mut state = node.watch_state();
    if state.wait_for(|s| *s == VmState::Draining).await.is_err() {
        pending::<()>().await;
    }
}
