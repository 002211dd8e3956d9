//! Failures of calls to the platform.

use displaydoc::Display;
use std::time::Duration;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PlatformError {
    /// another write came first; the object is at version {current:?}
    Conflict {
        /// Version now, `None` where the object doesn't exist.
        current: Option<u64>,
    },
    /// the answer can't be read: {0}
    Invalid(String),
    /// the answer was lost and a write may have taken effect: {0}
    Lost(String),
    /// too many calls; try again after {0:?}
    RateLimited(Duration),
    /// the value is larger than a megabyte
    TooLarge,
    /// the platform can't be reached: {0}
    Unavailable(String),
}

impl std::error::Error for PlatformError {}
