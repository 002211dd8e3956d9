//! HTTP client for the platform.

use super::wire::{PlatformBatch, PlatformObjectBody, WirePlatformVm};
use crate::ConnectionPool;
use async_trait::async_trait;
use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, Response, StatusCode, Uri,
    header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER},
};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use steer::{
    Body, Expected, Platform, PlatformError, PlatformObject, PlatformVm, SendError, WatchBatch,
    empty_body, full_body,
};
use tokio::time::timeout;

/// Sends requests to the platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    author: Arc<str>,
    pool: Arc<ConnectionPool>,
}

impl HttpPlatform {
    /// Header with the author of a write.
    pub const AUTHOR_HEADER: &'static str = "x-author";
    /// Timeout for a response; for a watch, it is added to the time for which the server may hold the
    /// request open.
    pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client that sends `author` with each request.
    ///
    /// ```
    /// use adapters::{ConnectionPool, HttpPlatform};
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let platform = HttpPlatform::new(address, "operator", ConnectionPool::new());
    /// assert!(format!("{platform:?}").contains("operator"));
    /// ```
    pub fn new(
        address: SocketAddr,
        author: impl Into<Arc<str>>,
        pool: Arc<ConnectionPool>,
    ) -> Self {
        Self { address, author: author.into(), pool }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<Request<Body>, PlatformError> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() =
            Uri::try_from(path).map_err(|e| PlatformError::Invalid(e.to_string()))?;
        let to_value = |text: String| {
            HeaderValue::try_from(text).map_err(|e| PlatformError::Invalid(e.to_string()))
        };
        let headers = request.headers_mut();
        headers.insert(HOST, to_value(self.address.to_string())?);
        headers.insert(Self::AUTHOR_HEADER, to_value(self.author.to_string())?);
        Ok(request)
    }

    /// Sends a request, reads the whole response and maps error statuses.
    ///
    /// Returns `Lost` if a request that may have been sent gets no complete response, as a write may
    /// have taken effect.
    async fn call(
        &self,
        request: Request<Body>,
        wait: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let exchange = async {
            let response = self.pool.send(self.address, request).await.map_err(|e| match e {
                SendError::NotSent { reason, .. } => PlatformError::Unavailable(reason),
                SendError::Sent { reason, .. } => PlatformError::Lost(reason),
            })?;
            let (parts, body) = response.into_parts();
            let bytes =
                body.collect().await.map_err(|e| PlatformError::Lost(e.to_string()))?.to_bytes();
            Ok(Response::from_parts(parts, bytes))
        };
        let response = timeout(wait, exchange)
            .await
            .map_err(|_| PlatformError::Lost("the response timed out".into()))??;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS => {
                let seconds = header_number(&response, RETRY_AFTER).unwrap_or(1);
                Err(PlatformError::RateLimited(Duration::from_secs(seconds)))
            }
            StatusCode::PAYLOAD_TOO_LARGE => Err(PlatformError::TooLarge),
            StatusCode::PRECONDITION_FAILED => {
                Err(PlatformError::Conflict { current: version_of(&response) })
            }
            status if status.is_server_error() => {
                Err(PlatformError::Unavailable(status.to_string()))
            }
            _ => Ok(response),
        }
    }

    /// Sends a GET request; `Lost` becomes `Unavailable`, as a read has no effect.
    async fn get(&self, path: &str, wait: Duration) -> Result<Response<Bytes>, PlatformError> {
        let request = self.request(Method::GET, path, empty_body())?;
        self.call(request, wait).await.map_err(|error| match error {
            PlatformError::Lost(reason) => PlatformError::Unavailable(reason),
            other => other,
        })
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, PlatformError> {
        let response = self.get(path, wait).await?;
        serde_json::from_slice(response.body()).map_err(|e| PlatformError::Invalid(e.to_string()))
    }

    /// Reads all stored versions of an object, newest first.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    pub async fn history(&self, path: &str) -> Result<Vec<PlatformObjectBody>, PlatformError> {
        let batch: PlatformBatch =
            self.get_json(&format!("/v1/history/{path}"), Self::RESPONSE_TIMEOUT).await?;
        Ok(batch.objects)
    }
}

fn version_of(response: &Response<Bytes>) -> Option<u64> {
    let tag = response.headers().get(ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

fn header_number(response: &Response<Bytes>, name: http::HeaderName) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn read(&self, path: &str) -> Result<Option<PlatformObject>, PlatformError> {
        let response = self.get(&format!("/v1/objects/{path}"), Self::RESPONSE_TIMEOUT).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let version = version_of(&response)
            .ok_or_else(|| PlatformError::Invalid("the response has no ETag".into()))?;
        let value = std::str::from_utf8(response.body())
            .map_err(|e| PlatformError::Invalid(e.to_string()))?;
        Ok(Some(PlatformObject { path: path.into(), value: Some(value.into()), version }))
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, PlatformError> {
        let path = format!("/v1/list/{prefix}");
        self.get_json::<PlatformBatch>(&path, Self::RESPONSE_TIMEOUT).await.map(Into::into)
    }

    async fn write(
        &self,
        path: &str,
        value: &str,
        expected: Expected,
    ) -> Result<u64, PlatformError> {
        let body = full_body(value.to_owned());
        let mut request = self.request(Method::PUT, &format!("/v1/objects/{path}"), body)?;
        let (name, condition) = match expected {
            Expected::Absent => (IF_NONE_MATCH, "*".to_owned()),
            Expected::Version(version) => (IF_MATCH, format!("\"{version}\"")),
        };
        let condition =
            HeaderValue::try_from(condition).map_err(|e| PlatformError::Invalid(e.to_string()))?;
        request.headers_mut().insert(name, condition);
        let response = self.call(request, Self::RESPONSE_TIMEOUT).await?;
        version_of(&response).ok_or_else(|| PlatformError::Lost("the response has no ETag".into()))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError> {
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={}", wait.as_millis());
        self.get_json::<PlatformBatch>(&path, wait + Self::RESPONSE_TIMEOUT).await.map(Into::into)
    }

    async fn versions(&self, path: &str) -> Result<Vec<PlatformObject>, PlatformError> {
        let versions = self.history(path).await?;
        Ok(versions.into_iter().map(PlatformObject::from).collect())
    }

    async fn vms(&self) -> Result<Vec<PlatformVm>, PlatformError> {
        let vms: Vec<WirePlatformVm> = self.get_json("/v1/vms", Self::RESPONSE_TIMEOUT).await?;
        Ok(vms.into_iter().map(PlatformVm::from).collect())
    }
}
