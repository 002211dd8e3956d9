//! Runs a request on a target of a pool that this VM owns.

use super::{Attempt, AttemptError, Call, OUTCOME_HEADER, Refusal, Sent, Unsent};
use crate::{
    AdmitError, Body, EntryNode, ErrorKind, Outcome, Permit, PoolKey, RepeatRule, Replay,
    TargetPool, Ticket, hold_until_end,
};
use futures_util::future::{Either, select};
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use slog::warn;
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout, timeout_at};

/// Most attempts for one request.
const ATTEMPTS: usize = 3;

/// How an attempt on one target failed.
enum Failure {
    /// Nothing was sent.
    NotSent(Attempt<Unsent>),
    /// The target says that it didn't run the request.
    Refused(Duration),
    /// The request may have run.
    Lost(Attempt<Sent>, ErrorKind),
}

/// A request on its way through a pool, with what a second attempt needs.
struct Run<'a> {
    call: &'a Call,
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
) -> Result<Response<Body>, Refusal> {
    let (replay, mut attempt) = read_replay(call, attempt).await?;
    let bodyless = replay.as_ref().is_some_and(Replay::is_bodyless);
    let ticket = call.ticket().bodyless(bodyless).whole(replay.is_some());
    let mut run = Run { call, node, pool: node.pool(key), replay, ticket };
    let mut lost: Option<(Attempt<Sent>, ErrorKind)> = None;
    for _ in 0..ATTEMPTS {
        let permit = match slot.take() {
            Some(permit) => permit,
            None => match run.admit().await {
                Ok(permit) => permit,
                Err(error) => return Err(refuse(attempt, lost, error)),
            },
        };
        run.ticket.avoid = Some(permit.target().clone());
        match run.send_hedged(attempt, permit).await {
            Ok(response) => return Ok(response),
            Err(Failure::NotSent(back)) => attempt = back,
            Err(Failure::Refused(pause)) => match run.retry() {
                Some(again) => attempt = again,
                None => return Err(refuse_for_target(lost, pause)),
            },
            Err(Failure::Lost(sent, kind)) => match run.retry_lost(kind) {
                Some(again) => {
                    attempt = again;
                    lost = Some((sent, kind));
                }
                None => return Err(sent.refuse_unknown(kind)),
            },
        }
    }
    Err(refuse(attempt, lost, AdmitError::new(ErrorKind::NoRoom, Duration::ZERO)))
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

impl Run<'_> {
    fn count(&self, name: &str) {
        self.node.ports().meter.count(name, 1);
    }

    async fn admit(&self) -> Result<Permit, AdmitError> {
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
        let sending = attempt.send(targets, permit.address(), self.call.time_left());
        let response = match sending.await {
            Ok(answered) => answered.into_response(),
            Err(AttemptError::NotSent(back, reason)) => {
                permit.note_unreachable();
                self.count("target.unreachable");
                warn!(self.node.log(), "request: target can't be reached";
                    "target" => %permit.target(), "reason" => reason);
                return Err(Failure::NotSent(back));
            }
            Err(AttemptError::Sent(sent, kind)) => {
                if kind == ErrorKind::TargetFailed {
                    permit.note_unreachable();
                    self.count("target.failed");
                }
                return Err(Failure::Lost(sent, kind));
            }
        };
        if let Some(pause) = refusal_pause(&response) {
            permit.note_shed(pause);
            self.count("target.shed");
            return Err(Failure::Refused(pause.unwrap_or_default()));
        }
        permit.note_answer();
        Ok(finish(response, permit))
    }
}

/// The failure that decides what may be said: an attempt that may have run goes before the rest.
fn worse(a: Failure, b: Failure) -> Failure {
    match (a, b) {
        (Failure::Lost(sent, kind), _) | (_, Failure::Lost(sent, kind)) => {
            Failure::Lost(sent, kind)
        }
        (Failure::Refused(pause), _) | (_, Failure::Refused(pause)) => Failure::Refused(pause),
        (a, _) => a,
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

/// Marks the answer as run and keeps the slot until its last byte.
fn finish(mut response: Response<Body>, permit: Permit) -> Response<Body> {
    if !response.headers().contains_key(OUTCOME_HEADER) {
        response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    }
    response.map(|body| hold_until_end(body, permit))
}
