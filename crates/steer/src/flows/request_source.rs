//! The request of a caller, kept for further attempts.

use super::Refusal;
use crate::{Body, BufferedRequest, ErrorKind};
use http::Request;

/// Provides the request for each attempt.
pub(super) enum RequestSource {
    /// The request is buffered and can be sent any number of times.
    Buffered(BufferedRequest),
    /// The body is streamed; the request is available until its first byte has been sent.
    Stream(Option<Request<Body>>),
}

impl RequestSource {
    /// Buffers a request, unless it is streamed or too large.
    ///
    /// # Errors
    ///
    /// If the body of the request fails.
    pub(super) async fn new(request: Request<Body>, streamed: bool) -> Result<Self, Refusal> {
        if streamed {
            return Ok(Self::Stream(Some(request)));
        }
        match BufferedRequest::read(request).await {
            Ok(Ok(buffered)) => Ok(Self::Buffered(buffered)),
            Ok(Err(request)) => Ok(Self::Stream(Some(request))),
            Err(error) => Err(Refusal::new(ErrorKind::RequestInvalid, error.to_string())),
        }
    }

    /// Returns the request for the next attempt, if it can be sent.
    pub(super) fn take(&mut self) -> Option<Request<Body>> {
        match self {
            Self::Buffered(buffered) => Some(buffered.request()),
            Self::Stream(request) => request.take(),
        }
    }

    /// Puts back a request of which nothing was sent.
    pub(super) fn put_back(&mut self, unsent: Request<Body>) {
        if let Self::Stream(request) = self {
            *request = Some(unsent);
        }
    }

    /// Returns whether the request can't be sent again.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Stream(None))
    }
}
