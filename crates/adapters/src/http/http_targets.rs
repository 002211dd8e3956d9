//! Adapter of the target port over HTTP/1.1.

use super::{Acceptance, ConnectionPool, set_framing, strip_hop_headers, to_origin_form};
use async_trait::async_trait;
use http::{Request, Response, StatusCode, response::Parts};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use std::{net::SocketAddr, sync::Arc};
use steer::{Body, LoadError, LoadReport, REQUEST_ID_HEADER, SendError, Targets, empty_body};

/// Why the response to another request is rejected.
pub(crate) const CROSSED: &str = "the response belongs to another request";

/// Sends requests to targets, and reads their load reports.
#[derive(Clone, Debug)]
pub struct HttpTargets {
    pool: Arc<ConnectionPool>,
}

/// JSON format of a load report.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireLoad {
    busy: u32,
    leaving: bool,
    queued: u32,
}

impl HttpTargets {
    /// Path of a target's load report.
    pub const LOAD_PATH: &'static str = "/.well-known/load";

    /// Largest size of a load report in bytes.
    pub const MAX_LOAD_BYTES: usize = 16 << 10;

    /// Creates the adapter on a connection pool.
    ///
    /// ```
    /// let targets = adapters::HttpTargets::new(adapters::ConnectionPool::new());
    /// assert!(format!("{targets:?}").contains("idle: 0"));
    /// ```
    pub fn new(pool: Arc<ConnectionPool>) -> Self {
        Self { pool }
    }

    /// Sends a request, and accepts the response only if `check` does. The connection of a rejected
    /// response is closed.
    ///
    /// # Errors
    ///
    /// Those of [`ConnectionPool::send_checked`].
    pub async fn send_checked(
        &self,
        target: SocketAddr,
        mut request: Request<Body>,
        check: impl FnOnce(&Parts) -> Result<Acceptance, &'static str>,
    ) -> Result<Response<Body>, SendError> {
        to_origin_form(&mut request);
        strip_hop_headers(request.headers_mut());
        set_framing(&mut request);
        let mut response = self.pool.send_checked(target, request, check).await?;
        strip_hop_headers(response.headers_mut());
        Ok(response)
    }
}

#[async_trait]
impl Targets for HttpTargets {
    async fn send(
        &self,
        target: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let check = |head: &Parts| match head.headers.get(REQUEST_ID_HEADER) {
            Some(returned) if Some(returned) != id.as_ref() => Err(CROSSED),
            _ => Ok(Acceptance::Head),
        };
        self.send_checked(target, request, check).await
    }

    async fn read_load(&self, target: SocketAddr) -> Result<LoadReport, LoadError> {
        let failed = |reason: String| LoadError { reason };
        let mut request = Request::new(empty_body());
        *request.uri_mut() = http::Uri::from_static(Self::LOAD_PATH);
        let host = target
            .to_string()
            .parse()
            .map_err(|_| failed("the address is not a valid Host header".into()))?;
        request.headers_mut().insert(http::header::HOST, host);
        let response = self.pool.send(target, request).await.map_err(|e| failed(e.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(failed(format!("the target responded with {}", response.status())));
        }
        let body = Limited::new(response.into_body(), Self::MAX_LOAD_BYTES);
        let bytes = body.collect().await.map_err(|e| failed(e.to_string()))?.to_bytes();
        let load: WireLoad = serde_json::from_slice(&bytes).map_err(|e| failed(e.to_string()))?;
        Ok(LoadReport { busy: load.busy, leaving: load.leaving, queued: load.queued })
    }

    async fn refuses_connections(&self, target: SocketAddr) -> bool {
        self.pool.refuses_connections(target).await
    }
}
