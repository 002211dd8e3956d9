//! HTTP handler for look-ups.

use super::to_response;
use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CACHE_CONTROL, CONTENT_TYPE, ETAG, IF_NONE_MATCH},
};
use serde::Serialize;
use std::net::SocketAddr;
use steer::{
    Body, ClientBlock, EntryNode, ErrorKind, LookupAnswer, Refusal, empty_body, full_body,
};

/// Path for look-ups; the optional query is `block=CIDR`.
pub const LOOKUP_PATH: &str = "/.well-known/ragwortswitch/lookup";

/// JSON body of a look-up response.
#[derive(Serialize)]
struct LookupBody<'a> {
    #[serde(rename = "max_age_s")]
    max_age: u64,
    vms: Vec<LookupVmBody<'a>>,
}

#[derive(Serialize)]
struct LookupVmBody<'a> {
    address: SocketAddr,
    name: &'a str,
    zone: &'a str,
}

/// Handles a look-up for the block in the query, or for the caller's address without one.
///
/// Responds with 304 if `If-None-Match` holds the current entity tag.
pub(crate) fn handle_lookup(
    node: &EntryNode,
    request: &Request<Body>,
    caller: SocketAddr,
) -> Response<Body> {
    let block = match requested_block(request) {
        None => ClientBlock::from(caller.ip()),
        Some(Ok(block)) => block,
        Some(Err(detail)) => {
            return to_response(&Refusal::new(ErrorKind::RequestInvalid, detail));
        }
    };
    let answer = node.look_up(&block);
    let etag = format!("\"{:016x}\"", answer.etag());
    let is_current =
        request.headers().get(IF_NONE_MATCH).is_some_and(|v| v.as_bytes() == etag.as_bytes());
    let mut response = if is_current {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        response
    } else {
        Response::new(full_body(to_json(&answer)))
    };
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let age = format!("max-age={}", answer.max_age.as_secs());
    for (name, value) in [(CACHE_CONTROL, age), (ETAG, etag)] {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Parses the block in the query; returns `None` if the query has none.
fn requested_block(request: &Request<Body>) -> Option<Result<ClientBlock, String>> {
    let query = request.uri().query()?;
    let text = query.split('&').find_map(|pair| pair.strip_prefix("block="))?;
    let block = text.replace("%2F", "/").replace("%3A", ":").parse();
    Some(block.map_err(|e| format!("block: {text} is no CIDR block ({e}), such as 10.1.0.0/16")))
}

fn to_json(answer: &LookupAnswer) -> Vec<u8> {
    let vms = answer.vms.iter().map(|vm| LookupVmBody {
        address: vm.address,
        name: vm.name.as_str(),
        zone: vm.zone.as_str(),
    });
    let body = LookupBody { max_age: answer.max_age.as_secs(), vms: vms.collect() };
    serde_json::to_vec(&body).expect("strings and numbers can be encoded")
}
