//! Rules of a service.

use std::time::Duration;

/// What the operators say of a service's targets.
///
/// ```
/// assert_eq!(steer::ServiceRules::default().connections, u32::MAX);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ServiceRules {
    /// Requests per second that a cold target bears.
    pub cold_rate: f64,
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Most connections that a target accepts from all VMs together.
    pub connections: u32,
}

impl Default for ServiceRules {
    fn default() -> Self {
        Self { cold_rate: f64::INFINITY, cold_time: Duration::ZERO, connections: u32::MAX }
    }
}
