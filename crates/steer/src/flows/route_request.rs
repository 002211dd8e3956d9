//! Chooses the availability zone in which a request runs, and hands the request off if another VM
//! owns the zone's pool.

use super::{
    Attempt, AttemptError, Call, ENTRY_VM_HEADER, OUTCOME_HEADER, Origin, Refusal, Unsent,
    lease_slot::lease_slot,
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
/// An at-most-once request claims its key before it queues if the queue is shorter than this number
/// of requests per slot.
const MAX_QUEUE_TO_CLAIM: u32 = 4;
/// Maximum number of zones in which a slot is requested after the local queue refused a request.
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

/// Tries the zones of the route plan. If none has a free slot, tries them again until half of the
/// time to the deadline has passed, unless too many requests already wait for another zone.
async fn route_from_caller(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
) -> Result<Response<Body>, Refusal> {
    let retry_until = Instant::now() + call.time_left() / 2;
    let region = node.preferred_region(call);
    let mut waiting = None;
    loop {
        match try_zones(node, call, attempt, &region).await {
            RouteResult::Finished(result) => return result,
            RouteResult::NotAccepted(unsent) => attempt = unsent,
        }
        waiting = waiting.or_else(|| node.zones().waiting().try_acquire().ok());
        if waiting.is_none() || Instant::now() >= retry_until {
            return Err(attempt.refuse_not_run(ErrorKind::NoRoom));
        }
        sleep(SEARCH_PAUSE).await;
    }
}

/// Result of trying one or more zones.
enum RouteResult {
    /// The response or refusal for the caller.
    Finished(Result<Response<Body>, Refusal>),
    /// No zone accepted the request; it hasn't run and can be tried again.
    NotAccepted(Attempt<Unsent>),
}

async fn try_zones(
    node: &EntryNode,
    call: &Call,
    mut attempt: Attempt<Unsent>,
    region: &RegionName,
) -> RouteResult {
    let home = node.home_zone(&call.service);
    for zone in node.plan_route(call, region) {
        let key = PoolKey { service: call.service.name.clone(), zone };
        let is_home = home.as_ref() == Some(&key.zone);
        let result = match node.pool_owner(&key) {
            PoolOwner::ThisVm => {
                return RouteResult::Finished(queue_or_move(node, call, attempt, &key).await);
            }
            PoolOwner::Unknown => continue,
            PoolOwner::Peer(peer) if is_home || peer.zone == node.vm().zone => {
                hand_off(node, call, attempt, &peer, &key, None).await
            }
            PoolOwner::Peer(peer) => lease_and_hand_off(node, call, attempt, &peer, &key).await,
        };
        match result {
            Ok(response) => return RouteResult::Finished(Ok(response)),
            Err(AttemptError::NotSent(unsent, _)) => attempt = unsent,
            Err(AttemptError::Sent(sent, kind)) => {
                return RouteResult::Finished(Err(sent.refuse_unknown(kind)));
            }
        }
    }
    RouteResult::NotAccepted(attempt)
}

/// Queues a request in a pool that this VM owns and requests slots in other zones meanwhile, then
/// uses the first slot that becomes free. If the VM begins to drain, the request moves to the new
/// owner.
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
        // The key is claimed before a slot is free, and a claim can't move to another zone.
        return run_here(node, call, attempt, key, None).await;
    }
    let bodyless = attempt.is_bodyless();
    let slot_request = call.slot_request().bodyless(bodyless).buffered(bodyless);
    let may_move = node.state().accepts_work();
    let exit = tokio::select! {
        biased;
        permit = pool.admit(&slot_request) => QueueExit::Local(permit),
        () = wait_until_draining(node), if may_move => QueueExit::NewOwner,
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
            RouteResult::Finished(result) => result,
            RouteResult::NotAccepted(unsent) => {
                Err(error.add_retry_after(unsent.refuse_not_run(error.kind)))
            }
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
) -> RouteResult {
    if call.settings.urgency != Urgency::Interactive {
        return RouteResult::NotAccepted(attempt);
    }
    let plan = node.plan_route(call, &node.vm().region);
    for zone in plan.into_iter().filter(|zone| *zone != key.zone).take(MAX_OVERFLOW_ZONES) {
        let remote = PoolKey { service: key.service.clone(), zone };
        let PoolOwner::Peer(peer) = node.pool_owner(&remote) else { continue };
        match lease_and_hand_off(node, call, attempt, &peer, &remote).await {
            Ok(response) => return RouteResult::Finished(Ok(response)),
            Err(AttemptError::NotSent(unsent, _)) => attempt = unsent,
            Err(AttemptError::Sent(sent, kind)) => {
                return RouteResult::Finished(Err(sent.refuse_unknown(kind)));
            }
        }
    }
    RouteResult::NotAccepted(attempt)
}

/// Runs a request in a pool that this VM owns, or moves it to the new owner if this VM drains.
async fn run_here(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    key: &PoolKey,
    slot: Option<Permit>,
) -> Result<Response<Body>, Refusal> {
    let may_move = node.state().accepts_work();
    match run_in_pool(node, call, attempt, key, slot, may_move).await {
        Ok(response) => Ok(response),
        Err(PoolExit::Answered(response)) => Ok(*response),
        Err(PoolExit::Refused(refusal)) => Err(refusal),
        Err(PoolExit::Moved(attempt)) => move_to_owner(node, call, attempt, key).await,
    }
}

/// Hands a request off to the pool's new owner. If there is none, or the request couldn't be sent,
/// the request queues here.
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
            lease_and_hand_off(node, call, attempt, &peer, key).await
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
    /// The local pool admitted or refused the request.
    Local(Result<Permit, AdmitError>),
    /// This VM began to drain and no longer owns the pool.
    NewOwner,
    /// The owner of a pool in another zone granted a slot.
    Remote(Box<EntryVm>, PoolKey, LeasedSlot),
}

/// Requests a slot in the zones that precede the local one in the route plan, until one of them
/// grants it. The plan puts a zone before the local one if reaching it takes less time than the
/// wait in the local queue. Only interactive requests move to another zone.
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
            if let Some(slot) = lease_slot(node, call, &remote, &peer).await {
                return QueueExit::Remote(peer, remote, slot);
            }
        }
        sleep(SEARCH_PAUSE).await;
    }
}

/// Leases a slot in another zone and hands the request off to the owner of the zone's pool. The
/// request counts against the cap of its shift, if any.
async fn lease_and_hand_off(
    node: &EntryNode,
    call: &Call,
    attempt: Attempt<Unsent>,
    peer: &EntryVm,
    key: &PoolKey,
) -> Result<Response<Body>, AttemptError> {
    let slot = lease_slot(node, call, key, peer).await;
    if let Some(shift) = node.shift_to(call, &peer.region) {
        node.zones().shifts().record_grant(&shift, slot.is_some(), Instant::now());
    }
    match slot {
        Some(slot) => hand_off_in_slot(node, call, attempt, peer, key, slot).await,
        None => Err(AttemptError::NotSent(attempt, "the owner granted no slot".into())),
    }
}

/// Hands a request off in a leased slot. The request counts against the cap of its shift, if any.
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
        && node.zones().shares().try_acquire(shift, 1, start).is_err()
    {
        node.zones().slot_leases().return_slot(key, slot);
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

/// Returns whether a peer refused a request because it had no free slot or was stopping.
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

/// Runs a request that a peer handed off. A request with a lease uses its slot; one without a lease
/// queues if the peer is in the same region. Any other request is refused without running it.
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
    let granted = lease.and_then(|id| node.use_leased_slot(key, id, peer));
    let admitted = granted.is_some() || (same_region && lease.is_none());
    if !admitted || !node.served_zones().contains(&key.zone) {
        return Err(attempt.refuse_not_run(ErrorKind::NoRoom));
    }
    let response = match granted {
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
    set_header(&mut request, LEASE_HEADER, slot.map(|slot| slot.lease.to_string()));
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
