//! Network distance between this VM and a target.

use crate::{AvailabilityZoneName, RegionName};
use std::time::Duration;

/// Network distance between two locations, in classes that differ in latency and cost.
///
/// ```
/// use steer::Distance;
/// let here = ("lis-a".into(), "lisboa".into());
/// assert_eq!(Distance::between(&here, &("lis-a".into(), "lisboa".into())), Distance::Zone);
/// assert!(Distance::Zone < Distance::Remote);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
    /// Another region.
    Remote,
}

impl Distance {
    /// Returns the distance between two locations, each given as a zone and its region.
    pub fn between(
        here: &(AvailabilityZoneName, RegionName),
        there: &(AvailabilityZoneName, RegionName),
    ) -> Self {
        if here.0 == there.0 {
            return Self::Zone;
        }
        if here.1 == there.1 { Self::Region } else { Self::Remote }
    }

    /// Returns the typical network round-trip time.
    ///
    /// ```
    /// use steer::Distance;
    /// assert!(Distance::Zone.round_trip() < Distance::Remote.round_trip());
    /// ```
    pub fn round_trip(self) -> Duration {
        match self {
            Self::Zone => Duration::from_millis(1),
            Self::Region => Duration::from_millis(10),
            Self::Remote => Duration::from_millis(50),
        }
    }
}
