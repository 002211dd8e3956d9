//! Streaming request and response bodies.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Error that ends a body before its last byte.
#[derive(Clone, Debug, Display, Error)]
#[display("the body broke off: {reason}")]
pub struct BodyError {
    /// Description from the transport.
    pub reason: String,
}

/// A streamed body; large bodies are never buffered whole in memory.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates an empty body.
///
/// ```
/// use http_body::Body;
/// assert!(steer::empty_body().is_end_stream());
/// ```
pub fn empty_body() -> Body {
    Empty::new().map_err(|e: Infallible| match e {}).boxed_unsync()
}

/// Creates a body from bytes in memory.
///
/// ```
/// use http_body::Body;
/// assert_eq!(steer::full_body("four").size_hint().exact(), Some(4));
/// ```
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e: Infallible| match e {}).boxed_unsync()
}

/// A body that owns a guard until it has been read to its end or is dropped.
#[derive(Debug)]
struct GuardedBody<G> {
    guard: Option<G>,
    inner: Body,
}

impl<G: Unpin> http_body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if !matches!(frame, Some(Ok(_))) {
            self.guard = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Attaches a guard, such as a slot, to a body; it is dropped when the body ends.
///
/// ```
/// use std::sync::Arc;
/// let slot = Arc::new(());
/// let body = steer::hold_until_end(steer::full_body("four"), Arc::clone(&slot));
/// assert_eq!(Arc::strong_count(&slot), 2);
/// drop(body);
/// assert_eq!(Arc::strong_count(&slot), 1);
/// ```
pub fn hold_until_end<G: Send + Unpin + 'static>(body: Body, guard: G) -> Body {
    GuardedBody { guard: Some(guard), inner: body }.boxed_unsync()
}
