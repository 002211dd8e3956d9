//! Finds an availability zone for a request, and hands it over where that is another one.

use super::{
    Attempt, AttemptError, Call, HOP_HEADER, Origin, Refusal, Unsent, run_in_pool::run_in_pool,
    serve_request::set_header,
};
use crate::{Body, EntryNode, EntryVm, ErrorKind, PoolKey, PoolOwner, SendError, order_zones};
use http::{HeaderName, Request, Response};
use tokio::time::timeout;

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
            PoolOwner::Here => return run_in_pool(node, call, attempt, &key).await,
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
    let sending = node.ports().peers.hand_off(peer.addresses.handoff, request);
    match timeout(call.time_left(), sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendError::NotSent { reason, request })) => {
            Err(AttemptError::NotSent(Attempt::new(*request), reason))
        }
        Ok(Err(SendError::Sent { .. })) => Err(Attempt::lost(ErrorKind::TargetFailed)),
        Err(_) => Err(Attempt::lost(ErrorKind::DeadlinePassed)),
    }
}
