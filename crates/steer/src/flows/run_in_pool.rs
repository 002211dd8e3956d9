//! Runs a request on a target of a pool that this VM owns.

use super::{Attempt, AttemptError, Call, OUTCOME_HEADER, Refusal, Unsent};
use crate::{Body, EntryNode, ErrorKind, Permit, PoolKey, hold_until_end};
use http::{HeaderValue, Response};
use slog::warn;

/// Attempts for a request of which nothing has been sent.
const ATTEMPTS: usize = 3;

/// Waits for a slot of a pool that this VM owns, and sends the request to its target. A request
/// that comes with a lent slot takes that one first and doesn't queue.
pub(super) async fn run_in_pool(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
    key: &PoolKey,
    mut lent: Option<Permit>,
) -> Result<Response<Body>, Refusal> {
    let pool = node.pool(key);
    for _ in 0..ATTEMPTS {
        let permit = match lent.take() {
            Some(permit) => permit,
            None => match pool.admit(&call.ticket()).await {
                Ok(permit) => permit,
                Err(kind) => return Err(attempt.refuse_not_run(kind)),
            },
        };
        let sending = attempt.send(&*node.ports().targets, permit.address(), call.time_left());
        match sending.await {
            Ok(answered) => return Ok(finish(answered.into_response(), permit)),
            Err(AttemptError::NotSent(back, reason)) => {
                warn!(node.log(), "request: target can't be reached";
                    "target" => %permit.target(), "reason" => reason);
                attempt = back;
            }
            Err(AttemptError::Sent(sent, kind)) => return Err(sent.refuse_unknown(kind)),
        }
    }
    Err(attempt.refuse_not_run(ErrorKind::NoRoom))
}

/// Marks the answer as run and keeps the slot until its last byte.
fn finish(mut response: Response<Body>, permit: Permit) -> Response<Body> {
    if !response.headers().contains_key(OUTCOME_HEADER) {
        response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    }
    response.map(|body| hold_until_end(body, permit))
}
