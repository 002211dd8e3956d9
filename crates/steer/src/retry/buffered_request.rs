//! Buffered requests that can be resent.

use crate::{Body, BodyError, BufferBudget, BufferPermit, Fingerprint, empty_body, full_body};
use bytes::Bytes;
use http::{Request, request::Parts};
use http_body::Body as _;
use http_body_util::BodyExt;
use std::sync::Arc;

/// Head and buffered body of a request, so that it can be resent.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    bytes: Bytes,
    head: Parts,
    _permit: Option<Arc<BufferPermit>>,
}

impl BufferedRequest {
    /// Maximum size of a buffered body in bytes.
    pub const MAX_BYTES: u64 = 64 << 10;

    /// Buffers a small body. A request whose body is large or of unknown length, or for which the
    /// budget has no room, is returned unchanged as the inner `Err`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body cannot be read to its end.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let request = http::Request::new(steer::full_body("four"));
    /// let budget = steer::BufferBudget::new(1 << 10);
    /// let buffered = steer::BufferedRequest::read(request, &budget).await.unwrap().unwrap();
    /// assert!(!buffered.is_bodyless());
    /// # });
    /// ```
    pub async fn read(
        request: Request<Body>,
        budget: &BufferBudget,
    ) -> Result<Result<Self, Request<Body>>, BodyError> {
        let length = request.body().size_hint().upper();
        let Some(length) = length.filter(|length| *length <= Self::MAX_BYTES) else {
            return Ok(Err(request));
        };
        let permit = budget.try_acquire(length as usize);
        if length > 0 && permit.is_none() {
            return Ok(Err(request));
        }
        let (head, body) = request.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(Ok(Self { bytes, head, _permit: permit.map(Arc::new) }))
    }

    /// Returns whether the body is empty.
    pub fn is_bodyless(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the fingerprint of the request for a service and member.
    pub fn fingerprint(&self, service: &str, member: &str) -> Fingerprint {
        let Parts { headers, method, uri, .. } = &self.head;
        Fingerprint::of_head(service, member, (method, uri, headers), &self.bytes)
    }

    /// Creates a copy of the request.
    pub fn request(&self) -> Request<Body> {
        let body = if self.is_bodyless() { empty_body() } else { full_body(self.bytes.clone()) };
        Request::from_parts(self.head.clone(), body)
    }
}
