//! Wall-clock time. Monotonic time comes from tokio, so that tests can pause it.

use jiff::Timestamp;
use std::fmt::Debug;

/// Tells the time of day.
pub trait Clock: Debug + Send + Sync {
    /// The time now.
    fn now(&self) -> Timestamp;
}

/// The operating system's clock.
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
