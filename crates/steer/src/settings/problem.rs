//! A reason why a settings document is refused.

use derive_more::Display;

/// What is wrong with a settings document, and where.
///
/// ```
/// let problem = steer::Problem::new("services.briefs", "has no targets");
/// assert_eq!(problem.to_string(), "services.briefs: has no targets");
/// ```
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{place}: {reason}")]
pub struct Problem {
    /// Path of the value inside the document.
    pub place: String,
    /// What was found and what is allowed.
    pub reason: String,
}

impl Problem {
    /// Makes a problem.
    ///
    /// ```
    /// assert_eq!(steer::Problem::new("fleet", "is empty").place, "fleet");
    /// ```
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { place: place.into(), reason: reason.into() }
    }
}
