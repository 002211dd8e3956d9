//! Wall-clock time. Monotonic time is read from tokio, so that tests can pause it.

use jiff::Timestamp;
use std::fmt::Debug;

/// Source of wall-clock time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Timestamp;
}

/// The system clock.
///
/// ```
/// use steer::{Clock, SystemClock};
/// assert!(SystemClock.now().as_second() > 0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        Timestamp::now()
    }
}
