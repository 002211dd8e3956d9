//! Runs a request on a target of a pool that this VM owns.

use super::{
    Attempt, AttemptError, Call, OUTCOME_HEADER, Refusal, Sent, Unsent, send_guard::SendGuard,
};
use crate::{
    AdmitError, Body, EntryNode, ErrorKind, Outcome, Permit, PoolKey, RepeatRule, Replay,
    TargetPool, Ticket, VmState, hold_until_end,
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

/// Most attempts for one request.
const ATTEMPTS: usize = 3;

/// How a request left a pool without an answer.
#[derive(Debug)]
pub(super) enum PoolExit {
    /// The record of its key answers the request.
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
    /// The request must not be sent; this is the answer.
    Ended(Box<Result<Response<Body>, Refusal>>),
    /// The target says that it didn't run the request.
    Refused(Duration),
    /// The request may have run.
    Lost(Attempt<Sent>, ErrorKind),
}

/// A request on its way through a pool, with what a second attempt needs.
struct Run<'a> {
    call: &'a Call,
    /// Keeps the claim of a key from an attempt that did not use it to the next.
    guard: Mutex<Option<SendGuard<'a>>>,
    node: &'a EntryNode,
    pool: Arc<TargetPool>,
    replay: Option<Replay>,
    ticket: Ticket,
}

/// Waits for a slot of a pool that this VM owns, and sends the request to its target; again to
/// another one where that is safe and the budget allows it. A request that comes with a slot
/// takes that one first and doesn't queue.
pub(super) async fn run_in_pool(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    key: &PoolKey,
    mut slot: Option<Permit>,
    moves: bool,
) -> Result<Response<Body>, PoolExit> {
    let (replay, mut attempt) = read_replay(call, attempt).await.map_err(PoolExit::Refused)?;
    let bodyless = replay.as_ref().is_some_and(Replay::is_bodyless);
    let ticket = call.ticket().bodyless(bodyless).whole(replay.is_some());
    let guard = Mutex::default();
    let mut run = Run { call, guard, node, pool: node.pool(key), replay, ticket };
    if slot.is_none() {
        attempt = run.prepare(attempt).await?;
    }
    let mut lost: Option<(Attempt<Sent>, ErrorKind)> = None;
    for _ in 0..ATTEMPTS {
        let admitted = tokio::select! {
            biased;
            admitted = run.admit(slot.take()) => admitted,
            () = draining(node), if moves && lost.is_none() => {
                run.give_up().await;
                return Err(PoolExit::Moved(attempt));
            }
        };
        let permit = match admitted {
            Ok(permit) => permit,
            Err(error) => return Err(run.refuse(attempt, lost, error).await),
        };
        run.ticket.avoid = Some(permit.target().clone());
        match run.send_hedged(attempt, permit).await {
            Ok(response) => return Ok(response),
            Err(Failure::Ended(answer)) => {
                return match lost {
                    Some((sent, kind)) => Err(PoolExit::Refused(sent.refuse_unknown(kind))),
                    None => answer.map_err(PoolExit::Refused),
                };
            }
            Err(Failure::NotSent(back)) => attempt = back,
            Err(Failure::Refused(pause)) => match run.retry() {
                Some(again) => attempt = again,
                None => {
                    run.give_up().await;
                    return Err(PoolExit::Refused(refuse_for_target(lost, pause)));
                }
            },
            Err(Failure::Lost(sent, kind)) => match run.retry_lost(kind) {
                Some(again) => {
                    attempt = again;
                    lost = Some((sent, kind));
                }
                None => return Err(PoolExit::Refused(sent.refuse_unknown(kind))),
            },
        }
    }
    let error = AdmitError::new(ErrorKind::NoRoom, Duration::ZERO);
    Err(run.refuse(attempt, lost, error).await)
}

/// Reads a small body whole, so that the request can be sent again.
async fn read_replay(
    call: &Call,
    attempt: Attempt<Unsent>,
) -> Result<(Option<Replay>, Attempt<Unsent>), Refusal> {
    match timeout_at(call.deadline, Replay::read(attempt.into_request())).await {
        Err(_) => Err(ErrorKind::CallerSlow.into()),
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::RequestInvalid, error.to_string())),
        Ok(Ok(Err(request))) => Ok((None, Attempt::new(request))),
        Ok(Ok(Ok(replay))) => {
            let attempt = Attempt::new(replay.request());
            Ok((Some(replay), attempt))
        }
    }
}

/// Refuses a request; "not run" only where no earlier attempt may have run it.
fn refuse(
    attempt: Attempt<Unsent>,
    lost: Option<(Attempt<Sent>, ErrorKind)>,
    error: AdmitError,
) -> Refusal {
    match lost {
        Some((sent, kind)) => sent.refuse_unknown(kind),
        None => error.explain(attempt.refuse_not_run(error.kind)),
    }
}

/// Refuses a request that a target refused without running it.
fn refuse_for_target(lost: Option<(Attempt<Sent>, ErrorKind)>, pause: Duration) -> Refusal {
    match lost {
        Some((sent, kind)) => sent.refuse_unknown(kind),
        None => AdmitError::new(ErrorKind::TargetRefused, pause)
            .explain(ErrorKind::TargetRefused.into()),
    }
}

impl<'a> Run<'a> {
    /// The guard that an attempt before left, or a new one.
    fn take_guard(&self) -> SendGuard<'a> {
        let mut kept = self.guard.lock().expect("no holder of the guard's lock panics");
        kept.take().unwrap_or_else(|| SendGuard::new(self.node, self.call))
    }

    /// Keeps the guard of an attempt that sent nothing, or whose target did not run it.
    fn keep(&self, mut guard: SendGuard<'a>) {
        guard.not_sent();
        *self.guard.lock().expect("no holder of the guard's lock panics") = Some(guard);
    }

    /// Claims the key of a request that runs at most once before it waits for a slot, so that no
    /// slot is held while the platform answers.
    async fn prepare(&self, attempt: Attempt<Unsent>) -> Result<Attempt<Unsent>, PoolExit> {
        let mut guard = self.take_guard();
        match guard.prepare(attempt).await {
            Ok(attempt) => {
                self.keep(guard);
                Ok(attempt)
            }
            Err(answer) => answer.map_or_else(
                |refusal| Err(PoolExit::Refused(refusal)),
                |response| Err(PoolExit::Answered(Box::new(response))),
            ),
        }
    }

    /// Releases the claim of a key that no attempt has used.
    async fn give_up(&self) {
        self.take_guard().give_up().await;
    }

    async fn refuse(
        &self,
        attempt: Attempt<Unsent>,
        lost: Option<(Attempt<Sent>, ErrorKind)>,
        error: AdmitError,
    ) -> PoolExit {
        self.give_up().await;
        PoolExit::Refused(refuse(attempt, lost, error))
    }

    fn count(&self, name: &str) {
        self.node.ports().meter.count(name, 1);
    }

    async fn admit(&self, slot: Option<Permit>) -> Result<Permit, AdmitError> {
        if let Some(mut permit) = slot {
            permit.note_sending();
            return Ok(permit);
        }
        let start = Instant::now();
        let result = self.pool.admit(&self.ticket).await;
        self.node.ports().meter.time("admission.wait", start.elapsed());
        match &result {
            Ok(_) => self.count("admission.granted"),
            Err(error) => self.count(&format!("admission.refused.{}", error.kind.slug())),
        }
        result
    }

    /// Makes the attempt anew, if the budget allows a retry.
    fn retry(&self) -> Option<Attempt<Unsent>> {
        let replay = self.replay.as_ref()?;
        if !self.pool.take_retry(&self.ticket) {
            self.count("retry.denied");
            return None;
        }
        self.count("retry.sent");
        Some(Attempt::new(replay.request()))
    }

    /// Makes an attempt anew that may have run, which only an idempotent request can bear.
    fn retry_lost(&self, kind: ErrorKind) -> Option<Attempt<Unsent>> {
        let again = self.ticket.repeat == RepeatRule::Idempotent && kind == ErrorKind::TargetFailed;
        if again { self.retry() } else { None }
    }

    /// Sends the request, and where the answer is late to a second target too; the first answer
    /// wins, and dropping the other attempt cancels it.
    async fn send_hedged(
        &self,
        attempt: Attempt<Unsent>,
        permit: Permit,
    ) -> Result<Response<Body>, Failure> {
        let delay = self.pool.hedge_delay(&self.ticket);
        let Some((delay, replay)) = delay.zip(self.replay.as_ref()) else {
            return self.send(attempt, permit).await;
        };
        let start = Instant::now();
        let origin = permit.origin();
        let mut first = pin!(self.send(attempt, permit));
        if let Ok(result) = timeout(delay, &mut first).await {
            return result;
        }
        let Some(permit) = self.pool.hedge(&self.ticket, &origin) else { return first.await };
        self.count("hedge.sent");
        let second = pin!(self.send(Attempt::new(replay.request()), permit));
        match select(first, second).await {
            Either::Left((Ok(response), _)) => Ok(response),
            Either::Right((Ok(response), _)) => {
                self.count("hedge.won");
                self.node.ports().meter.time("hedge.time", start.elapsed());
                Ok(response)
            }
            Either::Left((Err(failure), second)) => second.await.map_err(|e| worse(failure, e)),
            Either::Right((Err(failure), first)) => first.await.map_err(|e| worse(e, failure)),
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
            Err(AttemptError::NotSent(back, reason)) => {
                self.keep(guard);
                permit.note_unreachable();
                self.count("target.unreachable");
                warn!(self.node.log(), "request: target can't be reached";
                    "target" => %permit.target(), "reason" => reason);
                return Err(Failure::NotSent(back));
            }
            Err(AttemptError::Sent(sent, kind)) => {
                let kind = guard.failed(kind);
                if kind == ErrorKind::TargetFailed {
                    permit.note_unreachable();
                    self.count("target.failed");
                }
                return Err(Failure::Lost(sent, kind));
            }
        };
        if let Some(pause) = refusal_pause(answered.response()) {
            self.keep(guard);
            permit.note_shed(pause);
            self.count("target.shed");
            return Err(Failure::Refused(pause.unwrap_or_default()));
        }
        permit.note_answer();
        let response = guard.answered(answered).await;
        Ok(response.map(|body| hold_until_end(body, permit)))
    }
}

/// The failure that decides what may be said: an attempt that may have run goes before the rest.
fn worse(a: Failure, b: Failure) -> Failure {
    match (a, b) {
        (Failure::Lost(sent, kind), _) | (_, Failure::Lost(sent, kind)) => {
            Failure::Lost(sent, kind)
        }
        (Failure::Refused(pause), _) | (_, Failure::Refused(pause)) => Failure::Refused(pause),
        (Failure::NotSent(back), _) | (_, Failure::NotSent(back)) => Failure::NotSent(back),
        (ended, _) => ended,
    }
}

/// Where a target refused the request without running it: the pause that it asks for, if any.
fn refusal_pause(response: &Response<Body>) -> Option<Option<Duration>> {
    let headers = response.headers();
    let outcome = headers.get(OUTCOME_HEADER)?.to_str().ok()?;
    let refused = Outcome::parse(outcome) == Some(Outcome::NotRun);
    if response.status() != StatusCode::SERVICE_UNAVAILABLE || !refused {
        return None;
    }
    let asked = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    Some(asked.map(Duration::from_secs))
}

/// Waits until this VM drains.
pub(super) async fn draining(node: &EntryNode) {
    let mut state = node.watch_state();
    if state.wait_for(|s| *s == VmState::Draining).await.is_err() {
        pending::<()>().await;
    }
}
