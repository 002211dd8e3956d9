//! Per-service rules.

use std::time::Duration;

/// Operator settings for the targets of a service.
///
/// ```
/// assert_eq!(steer::ServiceRules::default().cold_rate, f64::INFINITY);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ServiceRules {
    /// Requests per second that a cold target can handle.
    pub cold_rate: f64,
    /// Time after its start during which a target is cold.
    pub cold_time: Duration,
}

impl Default for ServiceRules {
    fn default() -> Self {
        Self { cold_rate: f64::INFINITY, cold_time: Duration::ZERO }
    }
}
