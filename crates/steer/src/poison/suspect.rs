//! A suspected poison request, as entry VMs report it to each other.

use crate::{Fingerprint, TargetName};
use std::{collections::BTreeSet, time::Duration};

/// A request suspected of crashing targets: connections to them were lost while it ran.
///
/// ```
/// use std::time::Duration;
/// use steer::{Fingerprint, Suspect};
/// let fingerprint = Fingerprint::parse("7").unwrap();
/// let suspect = Suspect { age: Duration::ZERO, fingerprint, targets: ["briefs-1".into()].into() };
/// assert!(!suspect.is_poison());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Time since the last crash.
    pub age: Duration,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Targets that crashed while running it.
    pub targets: BTreeSet<TargetName>,
}

impl Suspect {
    /// Number of crashed targets at which a request counts as poison.
    pub const LIMIT: usize = 2;

    /// Returns whether the request is refused as poison.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{Fingerprint, Suspect};
    /// let fingerprint = Fingerprint::parse("7").unwrap();
    /// let targets = ["briefs-1", "briefs-2"].map(Into::into).into();
    /// assert!(Suspect { age: Duration::ZERO, fingerprint, targets }.is_poison());
    /// ```
    pub fn is_poison(&self) -> bool {
        self.targets.len() >= Self::LIMIT
    }
}
