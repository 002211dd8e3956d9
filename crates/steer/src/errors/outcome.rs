//! Whether a request was run, as reported to the caller.

use derive_more::Display;

/// Whether a request was run.
///
/// ```
/// assert_eq!(steer::Outcome::NotRun.to_string(), "not-run");
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The request was not run and may be retried.
    #[display("not-run")]
    NotRun,
    /// The request was run, and the response belongs to it.
    #[display("ran")]
    Ran,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Parses the text form of an outcome.
    ///
    /// ```
    /// use steer::Outcome;
    /// assert_eq!(Outcome::parse("ran"), Some(Outcome::Ran));
    /// assert_eq!(Outcome::parse("maybe"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::Ran, Self::Unknown].into_iter().find(|o| o.to_string() == text)
    }
}
