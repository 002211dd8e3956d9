//! The refusal of a request.

use crate::{Answer, ErrorKind, Outcome};
use std::time::Duration;

/// An error that is returned to the caller instead of a target's response.
///
/// ```
/// use steer::{ErrorKind, Refusal};
/// let refusal = Refusal::new(ErrorKind::NoService, "unknown host example.org");
/// assert_eq!(refusal.answer().status.as_u16(), 404);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Description of the error, for the caller.
    pub detail: String,
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Time after which the caller may retry; `None` for the time of the error kind.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal.
    ///
    /// ```
    /// use steer::{ErrorKind, Refusal};
    /// assert_eq!(Refusal::new(ErrorKind::NoRoom, "full").detail, "full");
    /// ```
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { detail: detail.into(), kind, retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    ///
    /// ```
    /// use steer::{ErrorKind, Refusal};
    /// let time = std::time::Duration::from_millis(6_300);
    /// let refusal = Refusal::from(ErrorKind::NoRoom).retry_after(time);
    /// assert_eq!(refusal.answer().retry_after, Some(7));
    /// ```
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Returns the refusal that is true of all attempts so far: an attempt that did not run doesn't
    /// replace an earlier one that may have run.
    ///
    /// ```
    /// use steer::{ErrorKind, Refusal};
    /// let (failed, full) = (Refusal::from(ErrorKind::TargetFailed), Refusal::from(ErrorKind::NoRoom));
    /// assert_eq!(full.clone().after(Some(failed.clone())), failed);
    /// assert_eq!(failed.clone().after(Some(full)), failed);
    /// ```
    pub fn after(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(earlier) if self.is_not_run() && !earlier.is_not_run() => earlier,
            _ => self,
        }
    }

    fn is_not_run(&self) -> bool {
        self.answer().outcome == Outcome::NotRun
    }

    /// Returns the answer for the error kind. The refusal's own retry time, if any, replaces that
    /// of the kind and is rounded up to whole seconds.
    ///
    /// ```
    /// use steer::{ErrorKind, Outcome, Refusal};
    /// assert_eq!(Refusal::new(ErrorKind::NoRoom, "").answer().outcome, Outcome::NotRun);
    /// ```
    pub fn answer(&self) -> Answer {
        let answer = self.kind.answer();
        self.retry_after.map_or(answer, |time| answer.retry_after(time.as_secs_f64().ceil() as u32))
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.to_string())
    }
}
