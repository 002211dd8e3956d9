//! The port to targets.

use super::{Body, SendError};
use async_trait::async_trait;
use derive_more::{Display, Error};
use http::{Request, Response};
use std::{fmt::Debug, net::SocketAddr};

/// Load report of a target; it may be stale or inaccurate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// Whether the target is leaving and accepts no new work.
    pub leaving: bool,
    /// Requests queued at the target.
    pub queued: u32,
}

/// Error of reading a load report.
#[derive(Clone, Debug, Display, Error)]
#[display("failed to read the load report: {reason}")]
pub struct LoadError {
    /// Description of the failure.
    pub reason: String,
}

/// Sends requests to targets.
#[async_trait]
pub trait Targets: Debug + Send + Sync {
    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future or the response body cancels the request; its connection is not
    /// reused.
    ///
    /// # Errors
    ///
    /// The error tells whether any byte of the request may have left this VM.
    async fn send(
        &self,
        target: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError>;

    /// Reads a target's load report.
    ///
    /// # Errors
    ///
    /// Returns an error if the target can't be reached or its report is invalid.
    async fn read_load(&self, target: SocketAddr) -> Result<LoadReport, LoadError>;

    /// Returns whether a target refuses a new connection, as no process listens at its address.
    /// Returns `false` if that isn't known.
    async fn refuses_connections(&self, _target: SocketAddr) -> bool {
        false
    }
}
