//! Responses that are read whole before they are passed on.

use super::{Body, BodyError, BodyFault, BodyLimits, bound_body, full_body};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use futures_util::stream::{StreamExt, iter};
use http::Response;
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use std::{pin::pin, time::Duration};
use tokio::time::{Instant, sleep};

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

/// Deadline of a response, set as its extension.
#[derive(Clone, Copy, Debug)]
pub struct ResponseDeadline(pub Instant);

/// Reads a small body to its end, so that a body that fails can still be replaced by another
/// response. Bytes that have arrived by the deadline count, however late they are read. A body that
/// is large, or whose length is unknown and that goes on for some time, is returned as a stream that
/// fails at the deadline; the first bytes of a large body are awaited.
///
/// # Errors
///
/// If a small body breaks off, or has not ended at the deadline, or if no byte of a large one comes.
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
    let stream_wait = sleep(match length {
        Some(_) => Duration::MAX,
        None => MAX_STREAM_WAIT,
    });
    let mut stream_wait = pin!(stream_wait);
    let (head, body) = response.into_parts();
    let mut body = bound_body(body, BodyLimits::with_deadline(deadline), BodyFault::default());
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut stream_wait => break,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) if Instant::now() >= deadline => return Err(SmallBodyError::Late),
            Some(Err(error)) => return Err(error.into()),
            None => return Ok(Response::from_parts(head, full_body(bytes))),
        };
        match frame.into_data() {
            Ok(data) => bytes.extend_from_slice(&data),
            // Trailers end a body.
            Err(trailers) => {
                body = prepend_frame(trailers, body);
                break;
            }
        }
        if bytes.len() > MAX_BYTES || is_large && !bytes.is_empty() {
            break;
        }
    }
    if !bytes.is_empty() {
        body = prepend_frame(Frame::data(bytes.freeze()), body);
    }
    Ok(Response::from_parts(head, body))
}

/// Puts a frame that has been read back in front of the rest of its body.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use http_body::Frame;
/// use http_body_util::BodyExt;
/// let body = steer::prepend_frame(Frame::data("who".into()), steer::full_body("le"));
/// assert_eq!(body.collect().await.unwrap().to_bytes(), "whole");
/// # });
/// ```
pub fn prepend_frame(first: Frame<Bytes>, rest: Body) -> Body {
    StreamBody::new(iter([Ok(first)]).chain(BodyStream::new(rest))).boxed_unsync()
}
