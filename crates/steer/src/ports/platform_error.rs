//! Errors of calls to the platform.

use displaydoc::Display;
use std::time::Duration;

/// Error of a call to the platform.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PlatformError {
    /// another write came first; the object is at version {current:?}
    Conflict {
        /// Current version, `None` if the object doesn't exist.
        current: Option<u64>,
    },
    /// invalid response from the platform: {0}
    Invalid(String),
    /// the response was lost and the write may have taken effect: {0}
    Lost(String),
    /// too many calls; try again after {0:?}
    RateLimited(Duration),
    /// the value is larger than a megabyte
    TooLarge,
    /// the platform can't be reached: {0}
    Unavailable(String),
}

impl std::error::Error for PlatformError {}
