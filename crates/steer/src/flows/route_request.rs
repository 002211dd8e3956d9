//! Finds an availability zone for a request, and hands it over where that is another one.

use super::{
    Attempt, AttemptError, Call, HOP_HEADER, Origin, Refusal, Unsent,
    run_in_pool::{PoolExit, run_in_pool},
    serve_request::set_header,
};
use crate::{Body, EntryNode, EntryVm, ErrorKind, PoolKey, PoolOwner, order_zones};
use http::{HeaderName, Request, Response};

/// Tries availability zones in order until one takes the request.
pub(super) async fn route_request(
    node: &EntryNode,
    call: &Call,
    request: Request<Body>,
    origin: &Origin,
) -> Result<Response<Body>, Refusal> {
    let mut attempt = Attempt::new(request);
    let zones = match origin {
        Origin::Caller => {
            let now = node.ports().clock.now();
            order_zones(&node.snapshot(), &call.service, &node.vm().zone, now)
        }
        Origin::Peer(_) => vec![node.vm().zone.clone()],
    };
    for zone in zones {
        let key = PoolKey { service: call.service.name.clone(), zone };
        let owner = match origin {
            Origin::Caller => node.pool_owner(&key),
            Origin::Peer(_) => PoolOwner::Here,
        };
        match owner {
            PoolOwner::Here => return run_or_move(node, call, attempt, &key).await,
            PoolOwner::Nobody => continue,
            PoolOwner::Peer(peer) => match hand_off(node, call, attempt, &peer).await {
                Ok(response) => return Ok(response),
                Err(AttemptError::NotSent(back, _)) => attempt = back,
                Err(AttemptError::Sent(sent, kind)) => return Err(sent.refuse_unknown(kind)),
            },
        }
    }
    Err(attempt.refuse_not_run(ErrorKind::NoRoom))
}

/// Runs the request in a pool of this VM. Where the VM begins to drain while the request waits, it
/// goes to the pool's new owner, or waits on here where there is none.
async fn run_or_move(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    key: &PoolKey,
) -> Result<Response<Body>, Refusal> {
    let moves = node.state().accepts_work();
    let mut attempt = match run_in_pool(node, call, attempt, key, moves).await {
        Ok(response) => return Ok(response),
        Err(PoolExit::Refused(refusal)) => return Err(refusal),
        Err(PoolExit::Moved(attempt)) => attempt,
    };
    if let PoolOwner::Peer(peer) = node.pool_owner(key) {
        node.ports().meter.count("drain.moved", 1);
        attempt = match hand_off(node, call, attempt, &peer).await {
            Ok(response) => return Ok(response),
            Err(AttemptError::NotSent(back, _)) => back,
            Err(AttemptError::Sent(sent, kind)) => return Err(sent.refuse_unknown(kind)),
        };
    }
    match run_in_pool(node, call, attempt, key, false).await {
        Ok(response) => Ok(response),
        Err(PoolExit::Refused(refusal)) => Err(refusal),
        Err(PoolExit::Moved(attempt)) => Err(attempt.refuse_not_run(ErrorKind::Stopping)),
    }
}

/// Hands the request to the entry VM that owns the pool.
async fn hand_off(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
) -> Result<Response<Body>, AttemptError> {
    let mut request = attempt.into_request();
    set_header(&mut request, HOP_HEADER, Some(node.vm().name.to_string()));
    let left = call.time_left().as_millis().to_string();
    set_header(&mut request, HeaderName::from_static(Call::DEADLINE_HEADER), Some(left));
    let attempt = Attempt::new(request);
    let sending = attempt.hand_off(&*node.ports().peers, peer.addresses.handoff, call.time_left());
    sending.await.map(Attempt::into_response)
}
