//! Settings of a traffic shift between regions.

use crate::{RegionName, ServiceName};
use jiff::Timestamp;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Moves a share of a service's traffic from one region to another along a ramp.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftSettings {
    /// Maximum number of requests that move in any one second, across all entry VMs.
    pub cap: u32,
    /// Region that the traffic leaves.
    pub from: RegionName,
    /// Time to reach the whole share, in seconds.
    pub ramp_s: u32,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Share of the region's traffic that moves once the ramp is complete, from 0 to 1.
    pub share: f64,
    /// When the ramp begins, as an RFC 3339 time.
    #[schemars(with = "String")]
    pub start: Timestamp,
    /// Region that receives the traffic.
    pub to: RegionName,
}

impl ShiftSettings {
    /// Returns the share that is shifted at the given time, ramping linearly from 0 to `share`.
    ///
    /// ```
    /// let shift: steer::ShiftSettings = serde_json::from_str(
    ///     r#"{ "cap": 5, "from": "a", "ramp_s": 60, "service": "s", "share": 0.5,
    ///          "start": "2026-01-01T00:00:00Z", "to": "b" }"#,
    /// ).unwrap();
    /// assert_eq!(shift.share_at("2026-01-01T00:00:30Z".parse().unwrap()), 0.25);
    /// assert_eq!(shift.share_at("2026-01-01T09:00:00Z".parse().unwrap()), 0.5);
    /// ```
    pub fn share_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.duration_since(self.start).as_secs_f64();
        self.share * (elapsed / f64::from(self.ramp_s)).clamp(0.0, 1.0)
    }
}
