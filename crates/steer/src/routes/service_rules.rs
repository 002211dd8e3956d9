//! Rules of a service.

use std::time::Duration;

/// What the operators say of a service's targets.
///
/// ```
/// assert_eq!(steer::ServiceRules::default().cold_rate, f64::INFINITY);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ServiceRules {
    /// Requests per second that a cold target bears.
    pub cold_rate: f64,
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
}

impl Default for ServiceRules {
    fn default() -> Self {
        Self { cold_rate: f64::INFINITY, cold_time: Duration::ZERO }
    }
}
