//! Answers to callers that use an idempotency key again.

use super::{Call, OUTCOME_HEADER, Refusal, serve_request::outcome_of};
use crate::{Body, EntryNode, ErrorKind, KeyState, Outcome, RecordedAnswer, full_body};
use http::{HeaderName, HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use std::time::Duration;
use tokio::time::Instant;

/// Header of an answer that was recorded when the request ran.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Longest wait for the record when a refusal is checked against it.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Answers from what is recorded of the key.
pub(super) fn known_answer(state: KeyState) -> Result<Response<Body>, Refusal> {
    match state {
        KeyState::Claimed { .. } | KeyState::Unknown => Err(ErrorKind::KeyUnsettled.into()),
        KeyState::NotRun => Err(ErrorKind::NoRoom.into()),
        KeyState::Ran(answer) => replay(answer),
    }
}

fn replay(answer: RecordedAnswer) -> Result<Response<Body>, Refusal> {
    let gone = || {
        let detail = format!("it ran with status {}; its answer is not kept", answer.status);
        Refusal::new(ErrorKind::AlreadyRan, detail)
    };
    let status = StatusCode::from_u16(answer.status).map_err(|_| gone())?;
    let body = answer.body.clone().ok_or_else(gone)?;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    if let Some(kind) = answer.kind.and_then(|kind| HeaderValue::try_from(kind).ok()) {
        headers.insert(CONTENT_TYPE, kind);
    }
    Ok(response)
}

/// Checks "not run" against the record before a caller is told: this request was not run, but an
/// earlier one with its key may have been. A caller that says it never sent the key before needs
/// no check, so that it gets a plain refusal also while the platform is down.
pub(super) async fn check_not_run(
    node: &EntryNode,
    call: &Call,
    response: Result<Response<Body>, Refusal>,
) -> Result<Response<Body>, Refusal> {
    let told = match &response {
        Err(refusal) if refusal.kind == ErrorKind::KeyReused => return response,
        Err(refusal) => refusal.answer().outcome,
        Ok(answer) => outcome_of(answer),
    };
    let key = call.once_key().filter(|_| !call.first && told == Outcome::NotRun);
    let Some(key) = key else { return response };
    let until = Instant::now() + READ_WAIT;
    match key.look(&*node.ports().platform, until).await {
        Ok(None) => response,
        Ok(Some(record)) if record.print != call.print.to_string() => {
            Err(ErrorKind::KeyReused.into())
        }
        Ok(Some(record)) if record.state == KeyState::NotRun => response,
        Ok(Some(record)) => known_answer(record.state),
        Err(_) => Err(ErrorKind::KeyUnread.into()),
    }
}
