//! Runs a request on a target of a pool that this VM owns.

use super::{Attempt, AttemptError, Call, Refusal, Unsent, send_guard::SendGuard};
use crate::{Body, EntryNode, ErrorKind, PoolKey, VmState, hold_until_end};
use http::Response;
use slog::warn;
use std::future::pending;

/// Attempts for a request of which nothing has been sent.
const ATTEMPTS: usize = 3;

/// How a request left a pool without an answer.
#[derive(Debug)]
pub(super) enum PoolExit {
    /// This VM began to drain while the request waited for a slot.
    Moved(Attempt<Unsent>),
    /// The request is refused.
    Refused(Refusal),
}

/// Waits for a slot of a pool that this VM owns, and sends the request to its target. Where
/// `moves` is set, a request that waits when this VM begins to drain comes back.
pub(super) async fn run_in_pool(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
    key: &PoolKey,
    moves: bool,
) -> Result<Response<Body>, PoolExit> {
    let pool = node.pool(key);
    let mut guard = SendGuard::new(node, call);
    for _ in 0..ATTEMPTS {
        let ticket = call.ticket();
        let admitted = tokio::select! {
            biased;
            admitted = pool.admit(&ticket) => admitted,
            () = draining(node), if moves => {
                guard.give_up().await;
                return Err(PoolExit::Moved(attempt));
            }
        };
        let permit = match admitted {
            Ok(permit) => permit,
            Err(kind) => return Err(PoolExit::Refused(guard.refuse(attempt, kind).await)),
        };
        let cleared = match guard.clear(attempt, permit.target()).await {
            Ok(cleared) => cleared,
            Err(answer) => return answer.map_err(PoolExit::Refused),
        };
        let sending = cleared.send(&*node.ports().targets, permit.address(), call.time_left());
        match sending.await {
            Ok(answered) => {
                let response = guard.answered(answered).await;
                return Ok(response.map(|body| hold_until_end(body, permit)));
            }
            Err(AttemptError::NotSent(back, reason)) => {
                warn!(node.log(), "request: target can't be reached";
                    "target" => %permit.target(), "reason" => reason);
                guard.not_sent();
                attempt = back;
            }
            Err(AttemptError::Sent(sent, kind)) => {
                return Err(PoolExit::Refused(guard.failed(sent, kind)));
            }
        }
    }
    Err(PoolExit::Refused(guard.refuse(attempt, ErrorKind::NoRoom).await))
}

/// Waits until this VM drains.
async fn draining(node: &EntryNode) {
    let mut state = node.watch_state();
    if state.wait_for(|s| *s == VmState::Draining).await.is_err() {
        pending::<()>().await;
    }
}
