//! The request of a caller, kept for further attempts.

use super::Refusal;
use crate::{Body, BufferBudget, BufferedRequest, ErrorKind, Fingerprint};
use http::Request;
use http_body::Body as _;

/// Provides the request for each attempt.
pub(super) enum RequestSource {
    /// The request is buffered and can be sent any number of times.
    Buffered(BufferedRequest),
    /// The body is streamed; the request is available until its first byte has been sent.
    Stream(Option<Request<Body>>),
}

impl RequestSource {
    /// Buffers a request, unless it is streamed or too large. Returns its fingerprint for a host too.
    ///
    /// # Errors
    ///
    /// If the body of the request fails.
    pub(super) async fn new(
        request: Request<Body>,
        streamed: bool,
        host: &str,
        budget: &BufferBudget,
    ) -> Result<(Self, Fingerprint), Refusal> {
        if streamed {
            return Ok(Self::stream(request, host));
        }
        match BufferedRequest::read(request, budget).await {
            Ok(Ok(buffered)) => {
                let fingerprint = buffered.fingerprint(host, "");
                Ok((Self::Buffered(buffered), fingerprint))
            }
            Ok(Err(request)) => Ok(Self::stream(request, host)),
            Err(error) => Err(Refusal::new(ErrorKind::RequestInvalid, error.to_string())),
        }
    }

    /// The length of a streamed body stands in for the body in the fingerprint.
    fn stream(request: Request<Body>, host: &str) -> (Self, Fingerprint) {
        let length = request.body().size_hint().exact().unwrap_or_default();
        let fingerprint = Fingerprint::new(host, "", &request, &length.to_be_bytes());
        (Self::Stream(Some(request)), fingerprint)
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
