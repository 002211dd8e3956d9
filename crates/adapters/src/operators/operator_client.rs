//! HTTP client for an entry VM's operator endpoint.

use crate::ConnectionPool;
use displaydoc::Display;
use http::{HeaderValue, Request, Uri, header::HOST};
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use steer::empty_body;
use tokio::time::timeout;

/// Why a request to an entry VM's operator endpoint failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OperatorError {
    /// the entry VM's response can't be decoded: {0}
    Invalid(String),
    /// {0}
    Refused(String),
    /// the entry VM at {address} can't be reached: {reason}
    Unreachable {
        /// Address of the operator endpoint.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
}

impl std::error::Error for OperatorError {}

/// HTTP client for an entry VM's operator endpoint.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
}

impl OperatorClient {
    /// Timeout for a response.
    pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
    /// Maximum size of a response body in bytes.
    const MAX_BODY_BYTES: usize = 64 << 20;

    /// Creates a client for one entry VM.
    ///
    /// ```
    /// use adapters::{ConnectionPool, OperatorClient};
    /// let client = OperatorClient::new("127.0.0.1:8082".parse().unwrap(), ConnectionPool::new());
    /// assert!(format!("{client:?}").contains("8082"));
    /// ```
    pub fn new(address: SocketAddr, pool: Arc<ConnectionPool>) -> Self {
        Self { address, pool }
    }

    /// Sends a GET request for a path with its query and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if the entry VM can't be reached, refuses the request, or sends a body that can't be
    /// decoded.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let unreachable =
            |reason: String| OperatorError::Unreachable { address: self.address, reason };
        timeout(Self::RESPONSE_TIMEOUT, self.exchange(path))
            .await
            .map_err(|_| unreachable("the response timed out".to_owned()))?
    }

    async fn exchange<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let invalid = |reason: String| OperatorError::Invalid(reason);
        let mut request = Request::new(empty_body());
        *request.uri_mut() = Uri::try_from(path).map_err(|e| invalid(e.to_string()))?;
        let host = HeaderValue::try_from(self.address.to_string());
        request.headers_mut().insert(HOST, host.map_err(|e| invalid(e.to_string()))?);
        let response = self.pool.send(self.address, request).await.map_err(|e| {
            OperatorError::Unreachable { address: self.address, reason: e.to_string() }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, Self::MAX_BODY_BYTES).collect().await;
        let bytes = body.map_err(|e| invalid(e.to_string()))?.to_bytes();
        if head.status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|e| invalid(e.to_string()));
        }
        let detail = serde_json::from_slice::<serde_json::Value>(&bytes).ok();
        let detail = detail.as_ref().and_then(|d| d.get("detail")?.as_str());
        Err(OperatorError::Refused(detail.map_or_else(|| head.status.to_string(), str::to_owned)))
    }
}
