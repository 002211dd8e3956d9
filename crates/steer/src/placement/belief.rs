//! Source and age of what this VM believes of a target.

use derive_more::Display;
use tokio::time::Instant;

/// Where a belief about a target comes from.
///
/// ```
/// assert_eq!(steer::BeliefSource::Response.to_string(), "response");
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BeliefSource {
    /// A connection to the target failed.
    #[display("connection")]
    Connection,
    /// The operators evacuated the target's availability zone.
    #[display("evacuation")]
    Evacuation,
    /// The target's registration.
    #[display("registration")]
    Registration,
    /// A response from the target's address.
    #[display("response")]
    Response,
}

/// Source of a belief, and the time since which it is held.
///
/// ```
/// use steer::{Belief, BeliefSource};
/// let now = tokio::time::Instant::now();
/// assert_eq!(Belief::new(BeliefSource::Response, now).since, now);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Belief {
    /// When this VM began to hold the belief.
    pub since: Instant,
    /// Where it comes from.
    pub source: BeliefSource,
}

impl Belief {
    /// Creates a belief that is held since `now`.
    pub fn new(source: BeliefSource, now: Instant) -> Self {
        Self { since: now, source }
    }
}
