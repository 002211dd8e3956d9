//! News of requests that were running when targets crashed, as routers tell them to each other.

use crate::{Fingerprint, TargetIncarnation};
use std::{collections::BTreeSet, time::Duration};

/// A request that was running when targets crashed, or that has been served since.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashNews {
    /// Time since the last crash, or since the request was served.
    pub age: Duration,
    /// Targets that crashed while they ran the request; empty if it has been served since.
    pub crashed: BTreeSet<TargetIncarnation>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}
