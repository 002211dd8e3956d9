//! HTTP handlers for operators.

use super::{ExplainView, StatusView};
use crate::callers::{LOOKUP_PATH, handle_lookup};
use http::{
    HeaderValue, Method, Request, Response, StatusCode,
    header::{ALLOW, CACHE_CONTROL, CONTENT_SECURITY_POLICY, CONTENT_TYPE},
};
use serde_json::json;
use std::{net::SocketAddr, sync::Arc};
use steer::{Body, EntryNode, ExplainError, ExplainQuery, full_body};

/// HTML page that shows the status.
const PAGE: &str = include_str!("status.html");
/// Content security policy that restricts the page to its inline parts and this server.
const PAGE_POLICY: &str = "default-src 'none'; connect-src 'self'; script-src 'unsafe-inline'; \
    style-src 'unsafe-inline'; base-uri 'none'; form-action 'none'";

/// Handles an operator's request. The endpoint is read-only: methods other than GET and HEAD get
/// 405.
pub async fn handle_operator(
    node: Arc<EntryNode>,
    request: Request<Body>,
    operator: SocketAddr,
) -> Response<Body> {
    if request.method() != Method::GET && request.method() != Method::HEAD {
        let mut response =
            error_response(StatusCode::METHOD_NOT_ALLOWED, "operators read with GET");
        response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, HEAD"));
        return response;
    }
    match request.uri().path() {
        "/" => page_response(),
        "/explain" => explain_response(&node, request.uri().query().unwrap_or_default()),
        "/status" => json_response(StatusCode::OK, &StatusView::new(&node)),
        LOOKUP_PATH => handle_lookup(&node, &request, operator),
        path => error_response(StatusCode::NOT_FOUND, &format!("nothing at {path}; see /status")),
    }
}

fn page_response() -> Response<Body> {
    let mut response = Response::new(full_body(PAGE));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/html; charset=utf-8"));
    headers.insert(CONTENT_SECURITY_POLICY, HeaderValue::from_static(PAGE_POLICY));
    response
}

fn explain_response(node: &EntryNode, query: &str) -> Response<Body> {
    let query = match parse_query(query) {
        Ok(query) => query,
        Err(reason) => return error_response(StatusCode::BAD_REQUEST, &reason),
    };
    match node.explain(&query) {
        Ok(explanation) => json_response(StatusCode::OK, &ExplainView::from(&explanation)),
        Err(error @ ExplainError::NoSettings) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        }
        Err(error) => error_response(StatusCode::NOT_FOUND, &error.to_string()),
    }
}

/// Parses `service=NAME&block=CIDR&class=NAME`; the class is optional.
fn parse_query(query: &str) -> Result<ExplainQuery, String> {
    let value = |name: &str| {
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.map(|text| text.replace("%2F", "/").replace("%3A", ":"))
    };
    let block = value("block").ok_or("the query lacks block=CIDR")?;
    let service = value("service").ok_or("the query lacks service=NAME")?;
    let parsed = block.parse().map_err(|_| format!("`{block}` is not a block such as 10.1.0.0/16"));
    Ok(ExplainQuery {
        block: parsed?,
        class: value("class").map(Into::into),
        service: service.into(),
    })
}

fn error_response(status: StatusCode, detail: &str) -> Response<Body> {
    let title = status.canonical_reason().unwrap_or_default();
    let body = json!({ "detail": detail, "status": status.as_u16(), "title": title });
    let mut response = json_response(status, &body);
    let problem = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, problem);
    response
}

fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_string_pretty(value).expect("all map keys of a view are strings");
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
