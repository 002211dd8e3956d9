//! Streaming request and answer bodies.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Why a body ended before its last byte.
#[derive(Clone, Debug, Display, Error)]
#[display("the body broke off: {reason}")]
pub struct BodyError {
    /// What the transport said.
    pub reason: String,
}

/// A body that is read as it comes, so that a large one never stands in memory whole.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Makes a body without content.
///
/// ```
/// use http_body::Body;
/// assert!(steer::empty_body().is_end_stream());
/// ```
pub fn empty_body() -> Body {
    Empty::new().map_err(|e: Infallible| match e {}).boxed_unsync()
}

/// Makes a body from bytes that are at hand.
///
/// ```
/// use http_body::Body;
/// assert_eq!(steer::full_body("four").size_hint().exact(), Some(4));
/// ```
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e: Infallible| match e {}).boxed_unsync()
}

/// A body that holds something until its last byte is read or it is dropped.
#[derive(Debug)]
struct HeldBody<G> {
    guard: Option<G>,
    inner: Body,
}

impl<G: Unpin> http_body::Body for HeldBody<G> {
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

/// Keeps a guard, such as a slot, until a body ends.
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
    HeldBody { guard: Some(guard), inner: body }.boxed_unsync()
}
