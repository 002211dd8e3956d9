//! Identifier of a pool.

use crate::{AvailabilityZoneName, ServiceName};
use derive_more::Display;

/// Identifies the pool of a service's targets in one availability zone.
///
/// ```
/// use steer::PoolKey;
/// assert_eq!(PoolKey::new("briefs", "lis-a").to_string(), "briefs@lis-a");
/// ```
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{service}@{zone}")]
pub struct PoolKey {
    /// Service of the targets.
    pub service: ServiceName,
    /// Availability zone of the targets.
    pub zone: AvailabilityZoneName,
}

impl PoolKey {
    /// Creates a key.
    ///
    /// ```
    /// assert_eq!(steer::PoolKey::new("briefs", "lis-a").zone.as_str(), "lis-a");
    /// ```
    pub fn new(service: impl Into<ServiceName>, zone: impl Into<AvailabilityZoneName>) -> Self {
        Self { service: service.into(), zone: zone.into() }
    }
}
