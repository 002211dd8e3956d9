//! A request that can be sent again.

use crate::{Body, BodyError, empty_body, full_body};
use bytes::Bytes;
use http::{Request, request::Parts};
use http_body::Body as _;
use http_body_util::BodyExt;

/// Head and body of a request, kept so that it can be sent again.
#[derive(Clone, Debug)]
pub struct Replay {
    bytes: Bytes,
    head: Parts,
}

impl Replay {
    /// Largest body that is kept, in bytes.
    pub const MOST_BYTES: u64 = 64 << 10;

    /// Reads a small body whole; a large one, or one of unknown length, goes back untouched.
    ///
    /// # Errors
    ///
    /// Where the body breaks off.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let request = http::Request::new(steer::full_body("four"));
    /// let replay = steer::Replay::read(request).await.unwrap().unwrap();
    /// assert!(!replay.is_bodyless());
    /// # });
    /// ```
    pub async fn read(request: Request<Body>) -> Result<Result<Self, Request<Body>>, BodyError> {
        let length = request.body().size_hint().upper();
        if length.is_none_or(|length| length > Self::MOST_BYTES) {
            return Ok(Err(request));
        }
        let (head, body) = request.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(Ok(Self { bytes, head }))
    }

    /// Whether the body is empty.
    pub fn is_bodyless(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes the request once more.
    pub fn request(&self) -> Request<Body> {
        let body = if self.is_bodyless() { empty_body() } else { full_body(self.bytes.clone()) };
        Request::from_parts(self.head.clone(), body)
    }
}
