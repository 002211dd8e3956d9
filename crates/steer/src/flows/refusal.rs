//! The refusal of a request.

use crate::{Answer, ErrorKind};
use std::time::Duration;

/// Why a request is not answered by a target.
///
/// ```
/// use steer::{ErrorKind, Refusal};
/// let refusal = Refusal::new(ErrorKind::NoService, "unknown host example.org");
/// assert_eq!(refusal.answer().status.as_u16(), 404);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Description of this case.
    pub detail: String,
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Time after which the caller may retry, if it is known more precisely than by the kind.
    pub wait: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal.
    ///
    /// ```
    /// use steer::{ErrorKind, Refusal};
    /// assert_eq!(Refusal::new(ErrorKind::NoRoom, "full").detail, "full");
    /// ```
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { detail: detail.into(), kind, wait: None }
    }

    /// Sets the time after which the caller may retry.
    ///
    /// ```
    /// use steer::{ErrorKind, Refusal};
    /// let wait = std::time::Duration::from_millis(6_300);
    /// let refusal = Refusal::from(ErrorKind::NoRoom).retry_after(wait);
    /// assert_eq!(refusal.answer().retry_after, Some(7));
    /// ```
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.wait = Some(wait);
        self
    }

    /// The answer for the error kind, with the refusal's own retry time, if any, rounded up to whole
    /// seconds.
    ///
    /// ```
    /// use steer::{ErrorKind, Outcome, Refusal};
    /// assert_eq!(Refusal::new(ErrorKind::NoRoom, "").answer().outcome, Outcome::NotRun);
    /// ```
    pub fn answer(&self) -> Answer {
        let answer = self.kind.answer();
        self.wait.map_or(answer, |wait| answer.retry_after(wait.as_secs_f64().ceil() as u32))
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.to_string())
    }
}
