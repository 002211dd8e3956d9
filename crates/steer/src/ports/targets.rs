//! The port towards targets.

use super::{Body, SendError};
use async_trait::async_trait;
use derive_more::{Display, Error};
use http::{Request, Response};
use std::{fmt::Debug, net::SocketAddr};

/// What a target reports about its load; it may lag or mislead.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// The target is leaving and wants no new work.
    pub leaving: bool,
    /// Requests that wait at the target.
    pub queued: u32,
}

/// Why a load report could not be read.
#[derive(Clone, Debug, Display, Error)]
#[display("no load report: {reason}")]
pub struct LoadError {
    /// What went wrong.
    pub reason: String,
}

/// Sends requests to targets.
#[async_trait]
pub trait Targets: Debug + Send + Sync {
    /// Sends one request and waits for the head of its answer.
    ///
    /// Dropping the future or the answer's body cancels the request, and its connection is
    /// not used again.
    ///
    /// # Errors
    ///
    /// Tells whether a byte of the request may have left this VM.
    async fn send(
        &self,
        target: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError>;

    /// Reads a target's load report.
    ///
    /// # Errors
    ///
    /// Where the target can't be reached or its report can't be read.
    async fn read_load(&self, target: SocketAddr) -> Result<LoadReport, LoadError>;
}
