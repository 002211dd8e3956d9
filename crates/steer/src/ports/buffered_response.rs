//! Responses that are read whole before they are passed on.

use super::{Body, BodyError, BodyFault, BodyLimits, bound_body, full_body};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use futures_util::stream::{StreamExt, iter};
use http::Response;
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Largest body in bytes that is read whole.
const MAX_BYTES: usize = 64 << 10;
/// Time for which a body of unknown length is read. After it, the body is passed on as a stream,
/// whose first bytes a caller may be waiting for.
const MAX_STREAM_WAIT: Duration = Duration::from_millis(100);

/// Why a small body could not be read to its end.
#[derive(Clone, Debug, Display, Error, From)]
pub enum SmallBodyError {
    /// The body broke off.
    #[display("{_0}")]
    Broken(BodyError),
    /// The body had not ended at the deadline.
    #[display("the body had not ended at the deadline")]
    Late,
}

/// Reads a small body to its end, so that a body that fails can still be replaced by another
/// response. Bytes that have arrived by the deadline count, however late they are read. A body that
/// is large, or whose length is unknown and that goes on for some time, is returned as a stream that
/// fails at the deadline.
///
/// # Errors
///
/// If a small body breaks off, or has not ended at the deadline.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// use http_body::Body;
/// let later = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
/// let response = http::Response::new(steer::full_body("four"));
/// let response = steer::buffer_small_body(response, later).await.unwrap();
/// assert_eq!(response.body().size_hint().exact(), Some(4));
/// # });
/// ```
pub async fn buffer_small_body(
    response: Response<Body>,
    deadline: Instant,
) -> Result<Response<Body>, SmallBodyError> {
    let length = response.body().size_hint().exact();
    let is_large = length.is_some_and(|length| length > MAX_BYTES as u64);
    if response.body().is_end_stream() {
        return Ok(response);
    }
    let limit = |body| bound_body(body, BodyLimits::with_deadline(deadline), BodyFault::default());
    if is_large {
        return Ok(response.map(limit));
    }
    let until = match length {
        Some(_) => deadline,
        None => deadline.min(Instant::now() + MAX_STREAM_WAIT),
    };
    let (head, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    let rest = loop {
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Ok(Response::from_parts(head, full_body(bytes))),
            Err(_) if until < deadline => break body,
            Err(_) => return Err(SmallBodyError::Late),
        };
        match frame.into_data() {
            Ok(data) => bytes.extend_from_slice(&data),
            // Trailers end a body.
            Err(trailers) => break prepend(trailers, body),
        }
        if bytes.len() > MAX_BYTES {
            break body;
        }
    };
    Ok(Response::from_parts(head, limit(prepend(Frame::data(bytes.freeze()), rest))))
}

fn prepend(first: Frame<Bytes>, rest: Body) -> Body {
    StreamBody::new(iter([Ok(first)]).chain(BodyStream::new(rest))).boxed_unsync()
}
