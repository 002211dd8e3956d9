//! Settings of a link between two regions.

use crate::RegionName;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A link between two regions, the same in each direction.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// The two regions.
    pub between: [RegionName; 2],
    /// Maximum traffic in each direction, in megabits per second.
    pub cap_mbit: u32,
    /// One-way delay in milliseconds.
    pub delay_ms: f64,
}

impl LinkSettings {
    /// Returns whether the link connects two regions, in either order.
    ///
    /// ```
    /// use steer::LinkSettings;
    /// let link = LinkSettings { between: ["a".into(), "b".into()], cap_mbit: 280, delay_ms: 35.0 };
    /// assert!(link.connects(&"b".into(), &"a".into()));
    /// ```
    pub fn connects(&self, a: &RegionName, b: &RegionName) -> bool {
        let [x, y] = &self.between;
        (x == a && y == b) || (x == b && y == a)
    }

    /// Returns the cap in bytes per second.
    ///
    /// ```
    /// use steer::LinkSettings;
    /// let link = LinkSettings { between: ["a".into(), "b".into()], cap_mbit: 8, delay_ms: 1.0 };
    /// assert_eq!(link.cap_bytes(), 1_000_000);
    /// ```
    pub fn cap_bytes(&self) -> u64 {
        u64::from(self.cap_mbit) * 125_000
    }
}
