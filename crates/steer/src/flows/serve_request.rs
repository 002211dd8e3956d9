//! Serves one request, from its arrival to the head of its response.

use super::{
    Call, Origin, Refusal, answer_from_record::verify_not_run, route_request::route_request,
};
use crate::{
    Body, BodyFault, BodyLimits, EntryNode, ErrorKind, Fingerprint, Outcome, RepeatRule,
    TraceContext, bound_body, full_body, hold_until_end,
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response};
use http_body::Body as _;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::timeout_at;

/// Response header that states whether the request ran.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("request-outcome");
/// Header with the name of the entry VM that handed a request off.
pub const ENTRY_VM_HEADER: HeaderName = HeaderName::from_static("x-entry-vm");
/// Header with the id of a request; each hop copies it to the response.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header of the W3C trace context.
pub const TRACE_HEADER: HeaderName = HeaderName::from_static("traceparent");

/// Time after the deadline within which a response body may still finish.
const BODY_GRACE: Duration = Duration::from_secs(1);
/// Maximum time between two frames of a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of a request id; a longer one is replaced.
const MAX_ID_LENGTH: usize = 128;

/// Serves one request: classifies it, routes it to a pool with a free slot, and returns the
/// response.
///
/// # Errors
///
/// A refusal whose kind states whether the request may have run.
pub async fn serve_request(
    node: &EntryNode,
    request: Request<Body>,
    origin: Origin,
) -> Result<Response<Body>, Refusal> {
    let name = if origin == Origin::Caller { "entry" } else { "peer entry" };
    let mut span = node.ports().tracer.start(name, trace_of(&request).as_ref());
    // What follows its head belongs to a tunnel, not to a body.
    if request.method() == Method::CONNECT {
        return Err(Refusal::new(ErrorKind::RequestInvalid, "tunnels are not supported"));
    }
    let snapshot = node.snapshot();
    let mut call = Call::classify(&snapshot, &request)?;
    span.record("service", call.service.name.as_str());
    span.record("class", call.class.as_str());
    let token = (node.work().token(), node.in_flight().enter(&call.class));
    let mut request = limit_body(&mut call, request).await?;
    let id = ensure_request_id(&mut request);
    set_header(&mut request, TRACE_HEADER, span.context().map(|c| c.traceparent));
    let response = if node.poison().is_refused(call.fingerprint) {
        Err(ErrorKind::Poisoned.into())
    } else {
        route_request(node, &call, request, &origin).await
    };
    let response = match origin {
        Origin::Caller => verify_not_run(node, &call, response).await,
        Origin::Peer(_) => response,
    };
    match &response {
        Ok(response) => span.record("status", response.status().as_str()),
        Err(refusal) => span.record("refused", &refusal.kind.slug()),
    }
    let mut response = response?;
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    if !response.headers().contains_key(OUTCOME_HEADER) {
        let unknown = HeaderValue::from_static("unknown");
        response.headers_mut().insert(OUTCOME_HEADER, unknown);
    }
    let limits = BodyLimits::with_deadline(call.deadline + BODY_GRACE);
    Ok(response
        .map(|body| hold_until_end(bound_body(body, limits, BodyFault::default()), (token, span))))
}

/// Limits the size and duration of a request body. The body of an at-most-once request is read
/// completely first, so that its fingerprint covers the content, and so that nothing is sent if the
/// body ends early.
async fn limit_body(call: &mut Call, request: Request<Body>) -> Result<Request<Body>, Refusal> {
    if request.body().size_hint().lower() > call.settings.max_body {
        return Err(ErrorKind::BodyTooLarge.into());
    }
    let limits = BodyLimits::with_deadline(call.deadline)
        .bytes(call.settings.max_body)
        .idle(BODY_IDLE_TIMEOUT);
    let fault = call.fault.clone();
    let request = request.map(|body| bound_body(body, limits, fault));
    if call.settings.repeat == RepeatRule::Idempotent {
        return Ok(request);
    }
    if call.idempotency_key.is_none() {
        return Err(ErrorKind::KeyMissing.into());
    }
    let (head, body) = request.into_parts();
    let bytes = collect_body(call, body).await?;
    let request = Request::from_parts(head, full_body(bytes.clone()));
    let (service, member) = (call.service.name.as_str(), call.member.as_str());
    call.fingerprint = Fingerprint::new(service, member, &request, &bytes);
    Ok(request)
}

async fn collect_body(call: &Call, body: Body) -> Result<Bytes, Refusal> {
    match timeout_at(call.deadline, body.collect()).await {
        Err(_) => Err(ErrorKind::CallerSlow.into()),
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::RequestInvalid, error.to_string())),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
    }
}

/// Returns the request's id; sets a new one if it is absent or too long.
fn ensure_request_id(request: &mut Request<Body>) -> HeaderValue {
    let received = request.headers().get(&REQUEST_ID_HEADER).filter(|id| id.len() <= MAX_ID_LENGTH);
    let generate = || HeaderValue::try_from(format!("{:032x}", rand::random::<u128>()));
    let id = match received {
        Some(id) => id.clone(),
        None => generate().expect("hex digits are valid in a header"),
    };
    request.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
    id
}

/// Returns the outcome that a response states; `Unknown` if it states none.
pub(super) fn outcome_of(response: &Response<Body>) -> Outcome {
    let stated = response.headers().get(OUTCOME_HEADER).and_then(|v| v.to_str().ok());
    stated.and_then(Outcome::parse).unwrap_or(Outcome::Unknown)
}

/// Returns the trace context of a request.
pub(super) fn trace_of(request: &Request<Body>) -> Option<TraceContext> {
    let traceparent = request.headers().get(TRACE_HEADER)?.to_str().ok()?.to_owned();
    Some(TraceContext { traceparent })
}

/// Sets a header if there is a value and it is valid in a header.
pub(super) fn set_header(request: &mut Request<Body>, name: HeaderName, value: Option<String>) {
    if let Some(value) = value.and_then(|v| HeaderValue::try_from(v).ok()) {
        request.headers_mut().insert(name, value);
    }
}
