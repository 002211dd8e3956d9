//! The life of one request, from its arrival to the head of its answer.

use super::{Call, Origin, Refusal, route_request::route_request};
use crate::{Body, EntryNode, ErrorKind, RepeatRule, TraceContext, hold_until_end};
use http::{HeaderName, HeaderValue, Request, Response};

/// Header that says on every answer whether the request ran.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("request-outcome");
/// Header with which an entry VM names itself to the peer that it hands a request to.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("x-entry-vm");
/// Header of the W3C trace context.
pub const TRACE_HEADER: HeaderName = HeaderName::from_static("traceparent");

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
    let call = Call::classify(&snapshot, &request)?;
    span.note("service", call.service.name.as_str());
    span.note("class", call.class.as_str());
    if call.rule.repeat == RepeatRule::AtMostOnce && call.key.is_none() {
        return Err(ErrorKind::KeyMissing.into());
    }
    let token = node.work().token();
    let mut request = request;
    set_header(&mut request, TRACE_HEADER, span.context().map(|c| c.traceparent));
    let response = route_request(node, &call, request, &origin).await;
    match &response {
        Ok(response) => span.note("status", response.status().as_str()),
        Err(refusal) => span.note("refused", &refusal.kind.slug()),
    }
    response.map(|r| r.map(|body| hold_until_end(body, (token, span))))
}

fn trace_of(request: &Request<Body>) -> Option<TraceContext> {
    let traceparent = request.headers().get(TRACE_HEADER)?.to_str().ok()?.to_owned();
    Some(TraceContext { traceparent })
}

/// Sets a header where there is a value that can stand in one.
pub(super) fn set_header(request: &mut Request<Body>, name: HeaderName, value: Option<String>) {
    if let Some(value) = value.and_then(|v| HeaderValue::try_from(v).ok()) {
        request.headers_mut().insert(name, value);
    }
}
