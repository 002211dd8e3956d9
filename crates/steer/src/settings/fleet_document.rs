//! The settings of the whole fleet, under the path `fleet`.

use crate::{
    AvailabilityZoneName, ClientBlock, DrainSettings, FleetName, LinkSettings, Maintenance,
    MemberName, RegionName, ServiceName, TeamName,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The settings of the whole fleet, with the bounds of each team's settings.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    /// Home region of each client address block; the longest prefix wins.
    #[serde(default)]
    pub blocks: BTreeMap<ClientBlock, RegionName>,
    /// What is drained now.
    #[serde(default)]
    pub drains: BTreeSet<DrainSettings>,
    /// Name of the fleet.
    pub fleet: FleetName,
    /// Links between regions.
    #[serde(default)]
    pub links: Vec<LinkSettings>,
    /// Planned drains.
    #[serde(default)]
    pub maintenance: Vec<Maintenance>,
    /// Members and their weights in fair queueing.
    #[serde(default)]
    pub members: BTreeMap<MemberName, MemberSettings>,
    /// Regions and their availability zones.
    pub regions: BTreeMap<RegionName, RegionSettings>,
    /// Teams and the bounds of their subtrees.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamBounds>,
}

/// Settings of a member.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Weight in fair queueing, 1 or more.
    pub weight: u32,
}

/// Settings of a region.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSettings {
    /// One-way delay between the region's availability zones in milliseconds.
    pub delay_ms: f64,
    /// Availability zones of the region.
    pub zones: BTreeSet<AvailabilityZoneName>,
}

/// What a team may set in its own subtree.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamBounds {
    /// Maximum cap of a traffic shift, in requests per second.
    pub max_shift: u32,
    /// Services that the team may configure.
    pub services: BTreeSet<ServiceName>,
}
