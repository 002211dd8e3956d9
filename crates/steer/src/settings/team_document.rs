//! The settings of one team, under the path `teams/NAME`.

use crate::{DrainSettings, Maintenance, ServiceName, ServiceSettings, ShiftSettings};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The settings of one team.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    /// What is drained now; only targets of the team's own services.
    #[serde(default)]
    pub drains: BTreeSet<DrainSettings>,
    /// Planned drains; only targets of the team's own services.
    #[serde(default)]
    pub maintenance: Vec<Maintenance>,
    /// Services of the team.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Traffic shifts between regions.
    #[serde(default)]
    pub shifts: Vec<ShiftSettings>,
}
