//! Settings of a traffic shift between regions.

use crate::{RegionName, ServiceName};
use jiff::Timestamp;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Moves a share of a service's traffic from one region to another along a ramp.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftSettings {
    /// Most requests that move in any one second, over all entry VMs.
    pub cap: u32,
    /// Region that the traffic leaves.
    pub from: RegionName,
    /// Time to reach the whole share, in seconds.
    pub ramp_s: u32,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Share of the region's traffic that moves in the end, from 0 to 1.
    pub share: f64,
    /// When the ramp begins, as an RFC 3339 time.
    #[schemars(with = "String")]
    pub start: Timestamp,
    /// Region that receives the traffic.
    pub to: RegionName,
}
