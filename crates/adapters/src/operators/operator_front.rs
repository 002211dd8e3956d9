//! Answers operators.

use super::StatusView;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use std::sync::Arc;
use steer::{Body, EntryNode, empty_body, full_body};

/// Answers an operator's request.
pub async fn answer_operator(node: Arc<EntryNode>, request: Request<Body>) -> Response<Body> {
    match request.uri().path() {
        "/status" => json_response(&StatusView::new(&node)),
        _ => {
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn json_response(value: &impl serde::Serialize) -> Response<Body> {
    match serde_json::to_string_pretty(value) {
        Ok(text) => {
            let mut response = Response::new(full_body(text));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(_) => {
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
