//! The life of one request, from its arrival to the head of its answer.

use super::{Call, Origin, Refusal, known_answer::check_not_run, route_request::route_request};
use crate::{
    Body, BodyFault, BodyLimits, EntryNode, ErrorKind, Fingerprint, Outcome, RepeatRule,
    TraceContext, bound_body, full_body, hold_until_end,
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body::Body as _;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::timeout_at;

/// Header that says on every answer whether the request ran.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("request-outcome");
/// Header with which an entry VM names itself to the peer that it hands a request to.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("x-entry-vm");
/// Header that names a request; each hop gives it back with the answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header of the W3C trace context.
pub const TRACE_HEADER: HeaderName = HeaderName::from_static("traceparent");

/// Time beyond the deadline for the last bytes of an answer.
const GRACE: Duration = Duration::from_secs(1);
/// Longest time between two parts of a request's body.
const IDLE_WAIT: Duration = Duration::from_secs(30);
/// Longest id of a request that is kept.
const MAX_ID: usize = 128;

/// Serves one request: finds its service and class, then a pool with room, then an answer.
///
/// # Errors
///
/// A refusal, whose kind tells whether the request may have run.
pub async fn serve_request(
    node: &EntryNode,
    request: Request<Body>,
    origin: Origin,
) -> Result<Response<Body>, Refusal> {
    let name = if origin == Origin::Caller { "entry" } else { "peer entry" };
    let mut span = node.ports().tracer.start(name, trace_of(&request).as_ref());
    let snapshot = node.snapshot();
    let mut call = Call::classify(&snapshot, &request)?;
    span.note("service", call.service.name.as_str());
    span.note("class", call.class.as_str());
    let token = (node.work().token(), node.under_way().enter(&call.class));
    let mut request = take_body(&mut call, request).await?;
    let id = keep_id(&mut request);
    set_header(&mut request, TRACE_HEADER, span.context().map(|c| c.traceparent));
    let response = if node.poison().refuses(call.print) {
        Err(ErrorKind::Poisoned.into())
    } else {
        route_request(node, &call, request, &origin).await
    };
    let response = match origin {
        Origin::Caller => check_not_run(node, &call, response).await,
        Origin::Peer(_) => response,
    };
    match &response {
        Ok(response) => span.note("status", response.status().as_str()),
        Err(refusal) => span.note("refused", &refusal.kind.slug()),
    }
    let mut response = response?;
    response.headers_mut().insert(REQUEST_ID, id);
    if !response.headers().contains_key(OUTCOME_HEADER) {
        let unknown = HeaderValue::from_static("unknown");
        response.headers_mut().insert(OUTCOME_HEADER, unknown);
    }
    let limits = BodyLimits::until(call.deadline + GRACE);
    Ok(response
        .map(|body| hold_until_end(bound_body(body, limits, BodyFault::default()), (token, span))))
}

/// Bounds the request's body. One that runs at most once is read whole, so that its key stands
/// for its content, and so that nothing was sent where it breaks off.
async fn take_body(call: &mut Call, request: Request<Body>) -> Result<Request<Body>, Refusal> {
    if request.body().size_hint().lower() > call.rule.max_body {
        return Err(ErrorKind::BodyTooLarge.into());
    }
    let limits = BodyLimits::until(call.deadline).bytes(call.rule.max_body).idle(IDLE_WAIT);
    let fault = call.fault.clone();
    let request = request.map(|body| bound_body(body, limits, fault));
    if call.rule.repeat == RepeatRule::Idempotent {
        return Ok(request);
    }
    if call.key.is_none() {
        return Err(ErrorKind::KeyMissing.into());
    }
    let (head, body) = request.into_parts();
    let bytes = read_whole(call, body).await?;
    let request = Request::from_parts(head, full_body(bytes.clone()));
    let (service, member) = (call.service.name.as_str(), call.member.as_str());
    call.print = Fingerprint::new(service, member, &request, &bytes);
    Ok(request)
}

async fn read_whole(call: &Call, body: Body) -> Result<Bytes, Refusal> {
    match timeout_at(call.deadline, body.collect()).await {
        Err(_) => Err(ErrorKind::CallerSlow.into()),
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::RequestInvalid, error.to_string())),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
    }
}

/// Keeps the request's id, or gives it one.
fn keep_id(request: &mut Request<Body>) -> HeaderValue {
    let held = request.headers().get(&REQUEST_ID).filter(|id| id.len() <= MAX_ID);
    let fresh = || HeaderValue::try_from(format!("{:032x}", rand::random::<u128>()));
    let id = match held {
        Some(id) => id.clone(),
        None => fresh().expect("a number stands in a header"),
    };
    request.headers_mut().insert(REQUEST_ID, id.clone());
    id
}

/// What an answer says about its request; `Unknown` where it says nothing.
pub(super) fn outcome_of(response: &Response<Body>) -> Outcome {
    let told = response.headers().get(OUTCOME_HEADER).and_then(|v| v.to_str().ok());
    told.and_then(Outcome::parse).unwrap_or(Outcome::Unknown)
}

/// The trace that a request belongs to.
pub(super) fn trace_of(request: &Request<Body>) -> Option<TraceContext> {
    let traceparent = request.headers().get(TRACE_HEADER)?.to_str().ok()?.to_owned();
    Some(TraceContext { traceparent })
}

/// Sets a header where there is a value that can stand in one.
pub(super) fn set_header(request: &mut Request<Body>, name: HeaderName, value: Option<String>) {
    if let Some(value) = value.and_then(|v| HeaderValue::try_from(v).ok()) {
        request.headers_mut().insert(name, value);
    }
}
