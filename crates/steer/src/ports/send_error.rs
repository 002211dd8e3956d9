//! Errors of sending a request.

use super::Body;
use crate::TargetReport;
use derive_more::{Display, Error};
use http::Request;

/// Error of sending a request, which tells whether the request may have run.
///
/// ```
/// use http::Request;
/// use steer::{SendError, empty_body};
/// let error = SendError::not_sent("connection refused", Request::new(empty_body()));
/// assert_eq!(error.to_string(), "not sent: connection refused");
/// ```
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No byte of the request left this VM; the request is returned unchanged.
    #[display("not sent: {reason}")]
    NotSent {
        /// Description from the transport.
        reason: String,
        /// The request, which can be sent elsewhere.
        request: Box<Request<Body>>,
    },
    /// At least one byte may have left this VM.
    #[display("sent: {reason}")]
    Sent {
        /// Whether the connection ended before a response: the target's process may have ended.
        ended: bool,
        /// Description from the transport.
        reason: String,
        /// What the target said of itself in a response that can't be passed on.
        report: Option<TargetReport>,
    },
}

impl SendError {
    /// Creates an error for a request that never left this VM.
    ///
    /// ```
    /// use steer::{SendError, empty_body};
    /// let error = SendError::not_sent("refused", http::Request::new(empty_body()));
    /// assert!(matches!(error, SendError::NotSent { .. }));
    /// ```
    pub fn not_sent(reason: impl Into<String>, request: Request<Body>) -> Self {
        Self::NotSent { reason: reason.into(), request: Box::new(request) }
    }

    /// Creates an error for a request that may have left this VM.
    ///
    /// ```
    /// assert_eq!(steer::SendError::sent("reset").to_string(), "sent: reset");
    /// ```
    pub fn sent(reason: impl Into<String>) -> Self {
        Self::Sent { ended: false, reason: reason.into(), report: None }
    }

    /// Creates an error for a request whose connection ended before a response.
    ///
    /// ```
    /// let error = steer::SendError::connection_ended("reset");
    /// assert!(matches!(error, steer::SendError::Sent { ended: true, .. }));
    /// ```
    pub fn connection_ended(reason: impl Into<String>) -> Self {
        Self::Sent { ended: true, reason: reason.into(), report: None }
    }
}
