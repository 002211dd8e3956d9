//! Chooses an availability zone for a request, and hands the request off if it is another one.

use super::{
    Attempt, AttemptError, Call, ENTRY_VM_HEADER, OUTCOME_HEADER, Origin, Refusal, Unsent,
    borrow_room::borrow_room,
    run_in_pool::{PoolExit, run_in_pool, wait_until_draining},
    serve_request::set_header,
};
use crate::{
    AdmitError, Body, EntryNode, EntryVm, ErrorKind, LeasedSlot, Outcome, Permit, PoolKey,
    PoolOwner, RegionName, RepeatRule, Urgency, VmName, empty_body, pace_body,
};
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use http_body::Body as _;
use std::{future::pending, time::Duration};
use tokio::time::{Instant, sleep};

/// Header with the id of the lease whose slot a request uses.
const LEASE_HEADER: HeaderName = HeaderName::from_static("x-room-lease");
/// Header with the availability zone of the pool in which a request is to run.
const ZONE_HEADER: HeaderName = HeaderName::from_static("x-pool-zone");
/// Queued requests per slot below which an at-most-once request claims its key before it queues.
const MAX_QUEUE_TO_CLAIM: u32 = 4;
/// Maximum number of zones that are asked for a slot after the local queue refused a request.
const MAX_OVERFLOW_ZONES: usize = 2;
/// Pause between two attempts to find a slot in another zone.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Runs a caller's request in a zone with free slots, or a request that a peer handed off.
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
        Origin::Caller => route_from_caller(node, call, attempt).await,
        Origin::Peer(peer) => {
            let zone = zone.unwrap_or_else(|| node.vm().zone.clone());
            let key = PoolKey { service: call.service.name.clone(), zone };
            run_for_peer(node, call, attempt, peer, &key, lease).await
        }
    }
}

/// Tries the planned zones. If none has room, repeats this until half of the time to the deadline
/// has passed, provided that fewer requests than the limit already wait this way.
async fn route_from_caller(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
) -> Result<Response<Body>, Refusal> {
    let give_up = Instant::now() + call.time_left() / 2;
    let wanted = node.preferred_region(call);
    let mut waiting = None;
    loop {
        match try_zones(node, call, attempt, &wanted).await {
            Tried::Done(result) => return result,
            Tried::NoRoom(unsent) => attempt = unsent,
        }
        waiting = waiting.or_else(|| node.zones().waiting().try_acquire().ok());
        if waiting.is_none() || Instant::now() >= give_up {
            return Err(attempt.refuse_not_run(ErrorKind::NoRoom));
        }
        sleep(SEARCH_PAUSE).await;
    }
}

/// Result of trying one or more zones.
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
                return Tried::Done(queue_or_move(node, call, attempt, &key).await);
            }
            PoolOwner::Nobody => continue,
            PoolOwner::Peer(peer) if queues || peer.zone == node.vm().zone => {
                hand_off(node, call, attempt, &peer, &key, None).await
            }
            PoolOwner::Peer(peer) => borrow_and_hand_off(node, call, attempt, &peer, &key).await,
        };
        match result {
            Ok(response) => return Tried::Done(Ok(response)),
            Err(AttemptError::NotSent(unsent, _)) => attempt = unsent,
            Err(AttemptError::Sent(sent, kind)) => {
                return Tried::Done(Err(sent.refuse_unknown(kind)));
            }
        }
    }
    Tried::NoRoom(attempt)
}

/// Queues a request in a pool that this VM owns while also looking for a slot in another zone, and
/// uses whichever slot comes first. If the VM begins to drain, the request moves to the new owner.
async fn queue_or_move(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    key: &PoolKey,
) -> Result<Response<Body>, Refusal> {
    let pool = node.pool(key);
    let room = pool.room();
    if call.settings.repeat == RepeatRule::AtMostOnce
        && room.queued < MAX_QUEUE_TO_CLAIM * room.slots
    {
        // The key is claimed before a slot is taken, and a claim can't move to another zone.
        return run_here(node, call, attempt, key, None).await;
    }
    let bodyless = attempt.is_bodyless();
    let slot_request = call.slot_request().bodyless(bodyless).buffered(bodyless);
    let moves = node.state().accepts_work();
    let exit = tokio::select! {
        biased;
        permit = pool.admit(&slot_request) => QueueExit::Local(permit),
        () = wait_until_draining(node), if moves => QueueExit::NewOwner,
        exit = find_remote_slot(node, call, key) => exit,
    };
    match exit {
        QueueExit::Local(Ok(permit)) => {
            let start = Instant::now();
            let result = run_here(node, call, attempt, key, Some(permit)).await;
            record_local_result(node, call, &result, start);
            result
        }
        QueueExit::Local(Err(error)) => match move_overflow(node, call, attempt, key).await {
            Tried::Done(result) => result,
            Tried::NoRoom(unsent) => Err(error.add_retry_after(unsent.refuse_not_run(error.kind))),
        },
        QueueExit::NewOwner => move_to_owner(node, call, attempt, key).await,
        QueueExit::Remote(peer, remote, slot) => {
            match hand_off_in_slot(node, call, attempt, &peer, &remote, slot).await {
                Ok(response) => Ok(response),
                Err(AttemptError::NotSent(unsent, _)) => {
                    run_here(node, call, unsent, key, None).await
                }
                Err(AttemptError::Sent(sent, kind)) => Err(sent.refuse_unknown(kind)),
            }
        }
    }
}

/// Moves a request that the local queue refused to another zone whose pool owner grants a slot.
async fn move_overflow(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
    key: &PoolKey,
) -> Tried {
    if call.settings.urgency != Urgency::Interactive {
        return Tried::NoRoom(attempt);
    }
    let plan = node.plan_route(call, &node.vm().region);
    for zone in plan.into_iter().filter(|zone| *zone != key.zone).take(MAX_OVERFLOW_ZONES) {
        let remote = PoolKey { service: key.service.clone(), zone };
        let PoolOwner::Peer(peer) = node.pool_owner(&remote) else { continue };
        match borrow_and_hand_off(node, call, attempt, &peer, &remote).await {
            Ok(response) => return Tried::Done(Ok(response)),
            Err(AttemptError::NotSent(unsent, _)) => attempt = unsent,
            Err(AttemptError::Sent(sent, kind)) => {
                return Tried::Done(Err(sent.refuse_unknown(kind)));
            }
        }
    }
    Tried::NoRoom(attempt)
}

/// Runs a request in a pool that this VM owns, or moves it to the new owner if this VM drains.
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

/// Hands a request off to the pool's new owner. Without one, or if it wasn't sent, it queues here.
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
            borrow_and_hand_off(node, call, attempt, &peer, key).await
        };
        attempt = match result {
            Ok(response) => return Ok(response),
            Err(AttemptError::NotSent(unsent, _)) => unsent,
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

/// How the wait of a queued request ended.
enum QueueExit {
    Local(Result<Permit, AdmitError>),
    NewOwner,
    Remote(Box<EntryVm>, PoolKey, LeasedSlot),
}

/// Polls the zones that the route plan puts before this one, as they are nearer than the end of the
/// queue, until one of them grants a slot. Only interactive requests move; other requests wait for
/// the zone's own slots.
async fn find_remote_slot(node: &EntryNode, call: &Call, key: &PoolKey) -> QueueExit {
    if call.settings.urgency != Urgency::Interactive {
        return pending().await;
    }
    let own = &node.vm().region;
    loop {
        let plan = node.plan_route(call, own);
        for zone in plan.into_iter().take_while(|zone| *zone != key.zone) {
            let remote = PoolKey { service: key.service.clone(), zone };
            let PoolOwner::Peer(peer) = node.pool_owner(&remote) else { continue };
            if let Some(slot) = borrow_room(node, call, &remote, &peer).await {
                return QueueExit::Remote(peer, remote, slot);
            }
        }
        sleep(SEARCH_PAUSE).await;
    }
}

/// Borrows a slot in another zone and hands the request off to the zone's pool owner, within the
/// cap of the shift to which it counts.
async fn borrow_and_hand_off(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
    key: &PoolKey,
) -> Result<Response<Body>, AttemptError> {
    let slot = borrow_room(node, call, key, peer).await;
    if let Some(shift) = node.shift_to(call, &peer.region) {
        node.zones().shifts().record_ask(&shift, slot.is_some(), Instant::now());
    }
    match slot {
        Some(slot) => hand_off_in_slot(node, call, attempt, peer, key, slot).await,
        None => Err(AttemptError::NotSent(attempt, "no room granted".into())),
    }
}

/// Hands a request off in a borrowed slot, within the cap of the shift to which it counts.
async fn hand_off_in_slot(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
    key: &PoolKey,
    slot: LeasedSlot,
) -> Result<Response<Body>, AttemptError> {
    let shift = node.shift_to(call, &peer.region);
    let start = Instant::now();
    node.zones().slot_leases().record_demand(key, start);
    if let Some(shift) = &shift
        && node.zones().shares().take(shift, 1, start).is_err()
    {
        node.zones().slot_leases().put_back(key, slot);
        return Err(AttemptError::NotSent(attempt, "the shift is at its cap".into()));
    }
    let result = hand_off(node, call, attempt, peer, key, Some(slot)).await;
    if let Some(shift) = &shift {
        let (ok, now) = (succeeded(&result), Instant::now());
        node.zones().shifts().record_shifted(shift, ok, now.duration_since(start), now);
    }
    result
}

fn succeeded<E>(result: &Result<Response<Body>, E>) -> bool {
    result.as_ref().is_ok_and(|r| !r.status().is_server_error() && !is_not_run(r.headers()))
}

fn is_not_run(headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME_HEADER).and_then(|v| Outcome::parse(v.to_str().ok()?));
    outcome == Some(Outcome::NotRun)
}

/// Whether a peer refused a request because it had no free slot or was stopping.
fn refused_for_capacity(response: &Response<Body>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE && is_not_run(response.headers())
}

fn record_local_result<E>(
    node: &EntryNode,
    call: &Call,
    result: &Result<Response<Body>, E>,
    start: Instant,
) {
    let now = Instant::now();
    let time = now.duration_since(start);
    node.zones().shifts().record_home(&call.service.name, succeeded(result), time, now);
}

/// Runs a request that a peer handed off: in the slot of its lease, or, for a peer of the same
/// region, through the queue. Any other request is refused before it starts.
async fn run_for_peer(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &VmName,
    key: &PoolKey,
    lease: Option<u64>,
) -> Result<Response<Body>, Refusal> {
    let known = node.peer(peer);
    let same_region = known.as_ref().is_some_and(|vm| vm.region == node.vm().region);
    let lent = lease.and_then(|id| node.redeem_room(key, id, peer));
    let admitted = lent.is_some() || (same_region && lease.is_none());
    if !admitted || !node.served_zones().contains(&key.zone) {
        return Err(attempt.refuse_not_run(ErrorKind::NoRoom));
    }
    let response = match lent {
        Some(permit) => run_here(node, call, attempt, key, Some(permit)).await?,
        None => queue_or_move(node, call, attempt, key).await?,
    };
    let Some(link) = known.and_then(|vm| node.link_to(&vm.region)) else { return Ok(response) };
    let pacer = node.zones().pacer().clone();
    Ok(response.map(|body| pace_body(body, pacer, link, call.settings.urgency)))
}

/// Hands a request off to the entry VM that owns the pool.
async fn hand_off(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
    key: &PoolKey,
    slot: Option<LeasedSlot>,
) -> Result<Response<Body>, AttemptError> {
    let mut request = attempt.into_request();
    set_header(&mut request, ENTRY_VM_HEADER, Some(node.vm().name.to_string()));
    set_header(&mut request, LEASE_HEADER, slot.map(|t| t.lease.to_string()));
    set_header(&mut request, ZONE_HEADER, Some(key.zone.to_string()));
    let left = call.time_left().as_millis().to_string();
    set_header(&mut request, HeaderName::from_static(Call::DEADLINE_HEADER), Some(left));
    let copy = request.body().is_end_stream().then(|| copy_without_body(&request));
    if copy.is_none()
        && let Some(link) = node.link_to(&peer.region)
    {
        let pacer = node.zones().pacer().clone();
        request = request.map(|body| pace_body(body, pacer, link, call.settings.urgency));
    }
    let attempt = Attempt::new(request);
    let sending = attempt.hand_off(&*node.ports().peers, peer.addresses.handoff, call.time_left());
    let response = sending.await?.into_response();
    match copy {
        // The peer reports that the request didn't run, so another zone may run it.
        Some(request) if refused_for_capacity(&response) => {
            Err(AttemptError::NotSent(Attempt::new(request), "refused by the peer".into()))
        }
        _ => Ok(response),
    }
}

/// Copies a request that has no body.
fn copy_without_body(request: &Request<Body>) -> Request<Body> {
    let mut copy = Request::new(empty_body());
    *copy.headers_mut() = request.headers().clone();
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.version_mut() = request.version();
    copy
}
