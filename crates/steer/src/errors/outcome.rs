//! What a caller may rely on after an answer.

use derive_more::Display;

/// Whether the work of a request was done.
///
/// ```
/// assert_eq!(steer::Outcome::NotRun.to_string(), "not-run");
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The request was not run and may be sent again.
    #[display("not-run")]
    NotRun,
    /// The request was run and the answer is its own.
    #[display("ran")]
    Ran,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Reads the outcome back from its text.
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
