//! Answers requests whose idempotency key was used before.

use super::{Call, OUTCOME_HEADER, Refusal, serve_request::outcome_of};
use crate::{Body, EntryNode, ErrorKind, KeyState, Outcome, RecordedAnswer, full_body};
use http::{HeaderName, HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use std::time::Duration;
use tokio::time::Instant;

/// Header that marks an answer as replayed from the record of an earlier run.
pub const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Timeout for reading a key's record before a refusal is returned.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the answer that follows from the recorded state of a key.
pub(super) fn answer_from_record(state: KeyState) -> Result<Response<Body>, Refusal> {
    match state {
        KeyState::Claimed { .. } | KeyState::Unknown => Err(ErrorKind::KeyUnsettled.into()),
        KeyState::NotRun => Err(ErrorKind::NoRoom.into()),
        KeyState::Ran(answer) => replay(answer),
    }
}

fn replay(answer: RecordedAnswer) -> Result<Response<Body>, Refusal> {
    let not_kept = || {
        let detail = format!("it ran with status {}; its answer is not kept", answer.status);
        Refusal::new(ErrorKind::AlreadyRan, detail)
    };
    let status = StatusCode::from_u16(answer.status).map_err(|_| not_kept())?;
    let body = answer.body.clone().ok_or_else(not_kept)?;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    if let Some(content_type) =
        answer.content_type.and_then(|text| HeaderValue::try_from(text).ok())
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}

/// Checks a "not run" outcome against the key's record before it is returned to a caller: this
/// request didn't run, but an earlier one with the same key may have. The check is skipped if the
/// caller states that it uses the key for the first time; it then gets an accurate refusal even
/// while the platform is down.
pub(super) async fn verify_not_run(
    node: &EntryNode,
    call: &Call,
    response: Result<Response<Body>, Refusal>,
) -> Result<Response<Body>, Refusal> {
    let outcome = match &response {
        Err(refusal) if refusal.kind == ErrorKind::KeyReused => return response,
        Err(refusal) => refusal.answer().outcome,
        Ok(answer) => outcome_of(answer),
    };
    let key = call.once_key().filter(|_| !call.first_use && outcome == Outcome::NotRun);
    let Some(key) = key else { return response };
    let until = Instant::now() + READ_TIMEOUT;
    match key.read_record(&*node.ports().platform, until).await {
        Ok(None) => response,
        Ok(Some(record)) if record.fingerprint != call.fingerprint.to_string() => {
            Err(ErrorKind::KeyReused.into())
        }
        Ok(Some(record)) if record.state == KeyState::NotRun => response,
        Ok(Some(record)) => answer_from_record(record.state),
        Err(_) => Err(ErrorKind::KeyUnread.into()),
    }
}
