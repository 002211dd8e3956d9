//! HTTP handlers for callers' requests, look-ups and requests forwarded by peers.

use super::{LOOKUP_PATH, lookup_handler::handle_lookup, to_response};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use std::{net::SocketAddr, sync::Arc};
use steer::{
    Body, ENTRY_VM_HEADER, EntryNode, ErrorKind, Origin, REQUEST_ID_HEADER, Refusal, serve_request,
};

/// Handles a request or look-up from a caller.
///
/// Removes the header that marks a forwarded request, so that callers can't set it.
pub async fn handle_caller(
    node: Arc<EntryNode>,
    mut request: Request<Body>,
    caller: SocketAddr,
) -> Response<Body> {
    if request.uri().path() == LOOKUP_PATH {
        return handle_lookup(&node, &request, caller);
    }
    request.headers_mut().remove(ENTRY_VM_HEADER);
    respond(&node, request, Origin::Caller).await
}

/// Handles a request that a peer forwarded.
///
/// Rejects a request without the header that names the forwarding entry VM.
pub async fn handle_forwarded(node: Arc<EntryNode>, request: Request<Body>) -> Response<Body> {
    let peer = request.headers().get(ENTRY_VM_HEADER).and_then(|v| v.to_str().ok());
    let Some(peer) = peer.map(Into::into) else {
        let detail = "a request handed over names its entry VM";
        return to_response(&Refusal::new(ErrorKind::RequestInvalid, detail));
    };
    respond(&node, request, Origin::Peer(peer)).await
}

async fn respond(node: &EntryNode, request: Request<Body>, origin: Origin) -> Response<Body> {
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let mut response = match serve_request(node, request, origin).await {
        Ok(response) => response,
        Err(refusal) => to_response(&refusal),
    };
    let headers = response.headers_mut();
    if let Some(id) = id {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if !node.state().accepts_work() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
