//! Encodes refusals as `application/problem+json` (RFC 9457).

use http::{
    HeaderValue, Response,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde_json::json;
use steer::{Body, OUTCOME_HEADER, Refusal, full_body};

/// Converts a refusal to an HTTP error response.
///
/// ```
/// use steer::{ErrorKind, Refusal};
/// let response = adapters::to_response(&Refusal::from(ErrorKind::NoRoom));
/// assert_eq!(response.headers()["request-outcome"], "not-run");
/// ```
pub fn to_response(refusal: &Refusal) -> Response<Body> {
    let answer = refusal.answer();
    let body = json!({
        "type": format!("urn:ragwortswitch:error:{}", refusal.kind.slug()),
        "title": refusal.kind.to_string(),
        "status": answer.status.as_u16(),
        "detail": refusal.detail,
        "outcome": answer.outcome.to_string(),
    });
    let mut response = Response::new(full_body(body.to_string()));
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Ok(outcome) = HeaderValue::try_from(answer.outcome.to_string()) {
        headers.insert(OUTCOME_HEADER, outcome);
    }
    if let Some(seconds) = answer.retry_after {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    response
}
