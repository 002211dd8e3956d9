//! Finds an availability zone for a request, and hands it over where that is another one.

use super::{
    Attempt, AttemptError, Call, HOP_HEADER, OUTCOME_HEADER, Origin, Refusal, Unsent,
    borrow_room::borrow_room,
    run_in_pool::{PoolExit, draining, run_in_pool},
    serve_request::set_header,
};
use crate::{
    AdmitError, Body, EntryNode, EntryVm, ErrorKind, Outcome, Permit, PoolKey, PoolOwner,
    RegionName, RepeatRule, RoomTicket, Urgency, VmName, empty_body, pace_body,
};
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use http_body::Body as _;
use std::{future::pending, time::Duration};
use tokio::time::{Instant, sleep};

/// Header with the number of the lease in whose slot a request runs.
const LEASE_HEADER: HeaderName = HeaderName::from_static("x-room-lease");
/// Header with the availability zone of the pool that a request is for.
const ZONE_HEADER: HeaderName = HeaderName::from_static("x-pool-zone");
/// Requests that wait for each slot, up to which a key is claimed before its request queues.
const CLAIM_QUEUE: u32 = 4;
/// Most zones that are asked for a slot for a request that the own queue refused.
const OVERFLOW_ZONES: usize = 2;
/// Time between two looks for room elsewhere.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Runs a request of a caller where there is room, or one that a peer handed over.
pub(super) async fn route_request(
    node: &EntryNode,
    call: &Call,
    mut request: Request<Body>,
    origin: &Origin,
) -> Result<Response<Body>, Refusal> {
    let headers = request.headers_mut();
    let lease = headers.remove(LEASE_HEADER).and_then(|v| v.to_str().ok()?.parse().ok());
    let zone = headers.remove(ZONE_HEADER).and_then(|v| Some(v.to_str().ok()?.into()));
    let attempt = Attempt::new(request);
    match origin {
        Origin::Caller => route_caller(node, call, attempt).await,
        Origin::Peer(peer) => {
            let zone = zone.unwrap_or_else(|| node.vm().zone.clone());
            let key = PoolKey { service: call.service.name.clone(), zone };
            run_for_peer(node, call, attempt, peer, &key, lease).await
        }
    }
}

/// Tries the planned zones; where the own zone has no targets, looks for room elsewhere until
/// half of the deadline is over.
async fn route_caller(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
) -> Result<Response<Body>, Refusal> {
    let give_up = Instant::now() + call.time_left() / 2;
    let wanted = node.wanted_region(call);
    let mut place = None;
    loop {
        match try_zones(node, call, attempt, &wanted).await {
            Tried::Done(result) => return result,
            Tried::NoRoom(back) => attempt = back,
        }
        place = place.or_else(|| node.zones().waiting().try_acquire().ok());
        if place.is_none() || Instant::now() >= give_up {
            return Err(attempt.refuse_not_run(ErrorKind::NoRoom));
        }
        sleep(LOOK_AGAIN).await;
    }
}

enum Tried {
    Done(Result<Response<Body>, Refusal>),
    NoRoom(Attempt<Unsent>),
}

async fn try_zones(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
    wanted: &RegionName,
) -> Tried {
    let home = node.home_zone(&call.service);
    for zone in node.plan_route(call, wanted) {
        let key = PoolKey { service: call.service.name.clone(), zone };
        let queues = home.as_ref() == Some(&key.zone);
        let result = match node.pool_owner(&key) {
            PoolOwner::Here => {
                return Tried::Done(run_or_move(node, call, attempt, &key).await);
            }
            PoolOwner::Nobody => continue,
            PoolOwner::Peer(peer) if queues || peer.zone == node.vm().zone => {
                hand_off(node, call, attempt, &peer, &key, None).await
            }
            PoolOwner::Peer(peer) => move_to(node, call, attempt, &peer, &key).await,
        };
        match result {
            Ok(response) => return Tried::Done(Ok(response)),
            Err(AttemptError::NotSent(back, _)) => attempt = back,
            Err(AttemptError::Sent(sent, kind)) => {
                return Tried::Done(Err(sent.refuse_unknown(kind)));
            }
        }
    }
    Tried::NoRoom(attempt)
}

/// Waits in the queue of a pool that this VM owns and looks for room elsewhere meanwhile,
/// whichever comes first. Where the VM begins to drain, the request goes to the new owner.
async fn run_or_move(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    key: &PoolKey,
) -> Result<Response<Body>, Refusal> {
    let pool = node.pool(key);
    let room = pool.room();
    if call.rule.repeat == RepeatRule::AtMostOnce && room.queued < CLAIM_QUEUE * room.slots {
        // Its key is claimed before it takes a slot, and a claim can't move to another zone.
        return run_here(node, call, attempt, key, None).await;
    }
    let bodyless = attempt.is_bodyless();
    let ticket = call.ticket().bodyless(bodyless).whole(bodyless);
    let moves = node.state().accepts_work();
    let place = tokio::select! {
        biased;
        permit = pool.admit(&ticket) => Place::Here(permit),
        () = draining(node), if moves => Place::NewOwner,
        place = look_elsewhere(node, call, key) => place,
    };
    match place {
        Place::Here(Ok(permit)) => {
            let start = Instant::now();
            let result = run_here(node, call, attempt, key, Some(permit)).await;
            note_home(node, call, &result, start);
            result
        }
        Place::Here(Err(error)) => match move_overflow(node, call, attempt, key).await {
            Tried::Done(result) => result,
            Tried::NoRoom(back) => Err(error.explain(back.refuse_not_run(error.kind))),
        },
        Place::NewOwner => move_to_owner(node, call, attempt, key).await,
        Place::There(peer, there, ticket) => {
            match hand_over(node, call, attempt, &peer, &there, ticket).await {
                Ok(response) => Ok(response),
                Err(AttemptError::NotSent(back, _)) => run_here(node, call, back, key, None).await,
                Err(AttemptError::Sent(sent, kind)) => Err(sent.refuse_unknown(kind)),
            }
        }
    }
}

/// Moves a request that the own queue refused to a zone that had room, if its owner grants a slot.
async fn move_overflow(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
    key: &PoolKey,
) -> Tried {
    if call.rule.urgency != Urgency::Interactive {
        return Tried::NoRoom(attempt);
    }
    let plan = node.plan_route(call, &node.vm().region);
    for zone in plan.into_iter().filter(|zone| *zone != key.zone).take(OVERFLOW_ZONES) {
        let there = PoolKey { service: key.service.clone(), zone };
        let PoolOwner::Peer(peer) = node.pool_owner(&there) else { continue };
        match move_to(node, call, attempt, &peer, &there).await {
            Ok(response) => return Tried::Done(Ok(response)),
            Err(AttemptError::NotSent(back, _)) => attempt = back,
            Err(AttemptError::Sent(sent, kind)) => {
                return Tried::Done(Err(sent.refuse_unknown(kind)));
            }
        }
    }
    Tried::NoRoom(attempt)
}

/// Runs a request in a pool of this VM, or moves it to the new owner where this VM drains.
async fn run_here(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    key: &PoolKey,
    slot: Option<Permit>,
) -> Result<Response<Body>, Refusal> {
    let moves = node.state().accepts_work();
    match run_in_pool(node, call, attempt, key, slot, moves).await {
        Ok(response) => Ok(response),
        Err(PoolExit::Answered(response)) => Ok(*response),
        Err(PoolExit::Refused(refusal)) => Err(refusal),
        Err(PoolExit::Moved(attempt)) => move_to_owner(node, call, attempt, key).await,
    }
}

/// Hands a request to the pool's new owner; it waits on here where there is none.
async fn move_to_owner(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
    key: &PoolKey,
) -> Result<Response<Body>, Refusal> {
    if let PoolOwner::Peer(peer) = node.pool_owner(key) {
        node.ports().meter.count("drain.moved", 1);
        let result = if peer.zone == node.vm().zone {
            hand_off(node, call, attempt, &peer, key, None).await
        } else {
            move_to(node, call, attempt, &peer, key).await
        };
        attempt = match result {
            Ok(response) => return Ok(response),
            Err(AttemptError::NotSent(back, _)) => back,
            Err(AttemptError::Sent(sent, kind)) => return Err(sent.refuse_unknown(kind)),
        };
    }
    match run_in_pool(node, call, attempt, key, None, false).await {
        Ok(response) => Ok(response),
        Err(PoolExit::Answered(response)) => Ok(*response),
        Err(PoolExit::Refused(refusal)) => Err(refusal),
        Err(PoolExit::Moved(attempt)) => Err(attempt.refuse_not_run(ErrorKind::Stopping)),
    }
}

/// Where a request that waited can run.
enum Place {
    Here(Result<Permit, AdmitError>),
    NewOwner,
    There(Box<EntryVm>, PoolKey, RoomTicket),
}

/// Looks again and again for a slot of a zone that is nearer than the end of the queue. Only
/// urgent work moves; the rest waits for the zone's own slots.
async fn look_elsewhere(node: &EntryNode, call: &Call, key: &PoolKey) -> Place {
    if call.rule.urgency != Urgency::Interactive {
        return pending().await;
    }
    let own = &node.vm().region;
    loop {
        let plan = node.plan_route(call, own);
        for zone in plan.into_iter().take_while(|zone| *zone != key.zone) {
            let there = PoolKey { service: key.service.clone(), zone };
            let PoolOwner::Peer(peer) = node.pool_owner(&there) else { continue };
            if let Some(ticket) = borrow_room(node, call, &there, &peer).await {
                return Place::There(peer, there, ticket);
            }
        }
        sleep(LOOK_AGAIN).await;
    }
}

/// Moves a request to another zone: only with a slot that its owner granted, and only under the
/// cap of the shift that it counts for.
async fn move_to(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
    key: &PoolKey,
) -> Result<Response<Body>, AttemptError> {
    let ticket = borrow_room(node, call, key, peer).await;
    if let Some(shift) = node.shift_to(call, &peer.region) {
        node.zones().shifts().note_ask(&shift, ticket.is_some(), Instant::now());
    }
    match ticket {
        Some(ticket) => hand_over(node, call, attempt, peer, key, ticket).await,
        None => Err(AttemptError::NotSent(attempt, "no room granted".into())),
    }
}

/// Hands a request over in a lent slot, under the cap of the shift that it counts for.
async fn hand_over(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
    key: &PoolKey,
    ticket: RoomTicket,
) -> Result<Response<Body>, AttemptError> {
    let shift = node.shift_to(call, &peer.region);
    let start = Instant::now();
    node.zones().room().note_demand(key, start);
    if let Some(shift) = &shift
        && node.zones().shares().take(shift, 1, start).is_err()
    {
        node.zones().room().put_back(key, ticket);
        return Err(AttemptError::NotSent(attempt, "the shift is at its cap".into()));
    }
    let result = hand_off(node, call, attempt, peer, key, Some(ticket)).await;
    if let Some(shift) = &shift {
        let (good, now) = (is_good(&result), Instant::now());
        node.zones().shifts().note_shifted(shift, good, now.duration_since(start), now);
    }
    result
}

fn is_good<E>(result: &Result<Response<Body>, E>) -> bool {
    result.as_ref().is_ok_and(|r| !r.status().is_server_error() && !is_not_run(r.headers()))
}

fn is_not_run(headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME_HEADER).and_then(|v| Outcome::parse(v.to_str().ok()?));
    outcome == Some(Outcome::NotRun)
}

/// Tells whether a peer refused a request because it had no room or was stopping.
fn has_no_room(response: &Response<Body>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE && is_not_run(response.headers())
}

fn note_home<E>(node: &EntryNode, call: &Call, result: &Result<Response<Body>, E>, start: Instant) {
    let now = Instant::now();
    let time = now.duration_since(start);
    node.zones().shifts().note_home(&call.service.name, is_good(result), time, now);
}

/// Runs a request that a peer handed over: in the slot of its lease, or, for a peer of the own
/// region, in the queue. Anything else is refused before it starts.
async fn run_for_peer(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &VmName,
    key: &PoolKey,
    lease: Option<u64>,
) -> Result<Response<Body>, Refusal> {
    let known = node.peer(peer);
    let neighbour = known.as_ref().is_some_and(|vm| vm.region == node.vm().region);
    let lent = lease.and_then(|id| node.redeem_room(key, id, peer));
    let admitted = lent.is_some() || (neighbour && lease.is_none());
    if !admitted || !node.served_zones().contains(&key.zone) {
        return Err(attempt.refuse_not_run(ErrorKind::NoRoom));
    }
    let response = match lent {
        Some(permit) => run_here(node, call, attempt, key, Some(permit)).await?,
        None => run_or_move(node, call, attempt, key).await?,
    };
    let Some(link) = known.and_then(|vm| node.link_to(&vm.region)) else { return Ok(response) };
    let pacer = node.zones().pacer().clone();
    Ok(response.map(|body| pace_body(body, pacer, link, call.rule.urgency)))
}

/// Hands the request to the entry VM that owns the pool.
async fn hand_off(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
    key: &PoolKey,
    ticket: Option<RoomTicket>,
) -> Result<Response<Body>, AttemptError> {
    let mut request = attempt.into_request();
    set_header(&mut request, HOP_HEADER, Some(node.vm().name.to_string()));
    set_header(&mut request, LEASE_HEADER, ticket.map(|t| t.lease.to_string()));
    set_header(&mut request, ZONE_HEADER, Some(key.zone.to_string()));
    let left = call.time_left().as_millis().to_string();
    set_header(&mut request, HeaderName::from_static(Call::DEADLINE_HEADER), Some(left));
    let again = request.body().is_end_stream().then(|| request_again(&request));
    if again.is_none()
        && let Some(link) = node.link_to(&peer.region)
    {
        let pacer = node.zones().pacer().clone();
        request = request.map(|body| pace_body(body, pacer, link, call.rule.urgency));
    }
    let attempt = Attempt::new(request);
    let sending = attempt.hand_off(&*node.ports().peers, peer.addresses.handoff, call.time_left());
    let response = sending.await?.into_response();
    match again {
        // The peer says that it ran nothing, so another zone may run the request.
        Some(request) if has_no_room(&response) => {
            Err(AttemptError::NotSent(Attempt::new(request), "refused by the peer".into()))
        }
        _ => Ok(response),
    }
}

/// The same request once more; it has no body.
fn request_again(request: &Request<Body>) -> Request<Body> {
    let mut again = Request::new(empty_body());
    *again.headers_mut() = request.headers().clone();
    *again.method_mut() = request.method().clone();
    *again.uri_mut() = request.uri().clone();
    *again.version_mut() = request.version();
    again
}
