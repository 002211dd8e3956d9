//! The response to a caller for an error.

use super::Outcome;
use http::StatusCode;

/// HTTP status, outcome and retry delay for one error kind.
///
/// ```
/// use steer::{Answer, Outcome};
/// let answer = Answer::new(http::StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun).retry_after(3);
/// assert_eq!(answer.retry_after, Some(3));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether the request was run.
    pub outcome: Outcome,
    /// Seconds after which the caller may retry.
    pub retry_after: Option<u32>,
    /// HTTP status.
    pub status: StatusCode,
}

impl Answer {
    /// Creates an answer without a retry delay.
    ///
    /// ```
    /// let answer = steer::Answer::new(http::StatusCode::BAD_GATEWAY, steer::Outcome::Unknown);
    /// assert_eq!(answer.retry_after, None);
    /// ```
    pub fn new(status: StatusCode, outcome: Outcome) -> Self {
        Self { outcome, retry_after: None, status }
    }

    /// Sets the seconds after which the caller may retry.
    ///
    /// ```
    /// use steer::{Answer, Outcome};
    /// let answer = Answer::new(http::StatusCode::CONFLICT, Outcome::Unknown).retry_after(1);
    /// assert_eq!(answer.retry_after, Some(1));
    /// ```
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }
}
