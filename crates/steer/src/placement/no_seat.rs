//! Why no target takes a request.

use derive_more::Display;
use std::time::Duration;

/// Why a request found no target.
///
/// ```
/// assert_eq!(steer::NoSeat::NoTarget.to_string(), "the service has no usable target");
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NoSeat {
    /// Every usable target has reached the bound on new work; there may be room after a time.
    #[display("every target of the service is full for {} ms more", _0.as_millis())]
    Full(Duration),
    /// The service has no usable target.
    #[display("the service has no usable target")]
    NoTarget,
}
