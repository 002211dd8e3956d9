//! Answers callers' requests and look-ups.

use super::to_response;
use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CACHE_CONTROL, CONNECTION, CONTENT_TYPE, ETAG, IF_NONE_MATCH},
};
use serde_json::json;
use std::{net::SocketAddr, sync::Arc};
use steer::{
    Body, ClientBlock, EntryNode, ErrorKind, HOP_HEADER, Origin, REQUEST_ID, Refusal, empty_body,
    full_body, serve_request,
};

/// Path of look-ups, with an optional query `block=CIDR`.
pub const LOOKUP_PATH: &str = "/.well-known/ragwortswitch/lookup";

/// Answers a caller's request or look-up.
pub async fn answer_caller(
    node: Arc<EntryNode>,
    mut request: Request<Body>,
    caller: SocketAddr,
) -> Response<Body> {
    if request.uri().path() == LOOKUP_PATH {
        return answer_lookup(&node, &request, caller);
    }
    request.headers_mut().remove(HOP_HEADER);
    respond(&node, request, Origin::Caller).await
}

/// Answers a request that a peer handed over.
pub async fn answer_hand_off(node: Arc<EntryNode>, request: Request<Body>) -> Response<Body> {
    let peer = request.headers().get(HOP_HEADER).and_then(|v| v.to_str().ok());
    let Some(peer) = peer.map(Into::into) else {
        let detail = "a request handed over names its entry VM";
        return to_response(&Refusal::new(ErrorKind::RequestInvalid, detail));
    };
    respond(&node, request, Origin::Peer(peer)).await
}

async fn respond(node: &EntryNode, request: Request<Body>, origin: Origin) -> Response<Body> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut response = match serve_request(node, request, origin).await {
        Ok(response) => response,
        Err(refusal) => to_response(&refusal),
    };
    let headers = response.headers_mut();
    if let Some(id) = id {
        headers.insert(REQUEST_ID, id);
    }
    if !node.state().accepts_work() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn answer_lookup(node: &EntryNode, request: &Request<Body>, caller: SocketAddr) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let asked = query.split('&').find_map(|pair| pair.strip_prefix("block="));
    let block = match asked.map(|text| text.replace("%2F", "/").parse::<ClientBlock>()) {
        None => ClientBlock::from(caller.ip()),
        Some(Ok(block)) => block,
        Some(Err(error)) => {
            let detail = format!("block: {error}");
            return to_response(&Refusal::new(ErrorKind::RequestInvalid, detail));
        }
    };
    let answer = node.look_up(&block);
    let tag = format!("\"{:016x}\"", answer.tag());
    let known =
        request.headers().get(IF_NONE_MATCH).is_some_and(|v| v.as_bytes() == tag.as_bytes());
    let mut response = if known {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        response
    } else {
        let vms: Vec<_> = answer
            .vms
            .iter()
            .map(|vm| json!({ "address": vm.address, "name": vm.name, "zone": vm.zone }))
            .collect();
        let body = json!({ "max_age_s": answer.max_age.as_secs(), "vms": vms });
        Response::new(full_body(body.to_string()))
    };
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let age = format!("max-age={}", answer.max_age.as_secs());
    for (name, value) in [(CACHE_CONTROL, age), (ETAG, tag)] {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
    response
}
