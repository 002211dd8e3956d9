//! What entry VMs tell each other about a request that may be poison.

use crate::{Fingerprint, TargetName};
use std::{collections::BTreeSet, time::Duration};

/// A request whose run ended connections to targets.
///
/// ```
/// use std::time::Duration;
/// use steer::{Fingerprint, Suspect};
/// let print = Fingerprint::parse("7").unwrap();
/// let suspect = Suspect { age: Duration::ZERO, print, targets: ["briefs-1".into()].into() };
/// assert!(!suspect.is_poison());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Time since the last target was ended.
    pub age: Duration,
    /// Which request.
    pub print: Fingerprint,
    /// Targets that it ended.
    pub targets: BTreeSet<TargetName>,
}

impl Suspect {
    /// Targets after which a request counts as poison.
    pub const LIMIT: usize = 2;

    /// Tells whether the request is refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{Fingerprint, Suspect};
    /// let print = Fingerprint::parse("7").unwrap();
    /// let targets = ["briefs-1", "briefs-2"].map(Into::into).into();
    /// assert!(Suspect { age: Duration::ZERO, print, targets }.is_poison());
    /// ```
    pub fn is_poison(&self) -> bool {
        self.targets.len() >= Self::LIMIT
    }
}
