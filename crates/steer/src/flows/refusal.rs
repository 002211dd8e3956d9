//! A refusal on its way to the caller.

use crate::{Answer, ErrorKind};

/// Why a request gets no answer from a target.
///
/// ```
/// use steer::{ErrorKind, Refusal};
/// let refusal = Refusal::new(ErrorKind::NoService, "unknown host example.org");
/// assert_eq!(refusal.answer().status.as_u16(), 404);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What happened in this case.
    pub detail: String,
    /// Which of the closed list of errors it is.
    pub kind: ErrorKind,
    /// Seconds after which the caller may try again, where that is known better than by kind.
    pub wait: Option<u32>,
}

impl Refusal {
    /// Makes a refusal.
    ///
    /// ```
    /// use steer::{ErrorKind, Refusal};
    /// assert_eq!(Refusal::new(ErrorKind::NoRoom, "full").detail, "full");
    /// ```
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { detail: detail.into(), kind, wait: None }
    }

    /// Sets the seconds after which the caller may try again.
    ///
    /// ```
    /// use steer::{ErrorKind, Refusal};
    /// let refusal = Refusal::from(ErrorKind::NoRoom).retry_after(7);
    /// assert_eq!(refusal.answer().retry_after, Some(7));
    /// ```
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.wait = Some(seconds);
        self
    }

    /// The answer that the table gives for the kind, with the refusal's own waiting time.
    ///
    /// ```
    /// use steer::{ErrorKind, Outcome, Refusal};
    /// assert_eq!(Refusal::new(ErrorKind::NoRoom, "").answer().outcome, Outcome::NotRun);
    /// ```
    pub fn answer(&self) -> Answer {
        let answer = self.kind.answer();
        self.wait.map_or(answer, |seconds| answer.retry_after(seconds))
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.to_string())
    }
}
