//! Settings of a service.

use crate::{ClassName, ClassSettings, RegionName, TargetName, TargetSettings};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of a service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Classes of its requests.
    pub classes: BTreeMap<ClassName, ClassSettings>,
    /// Host names by which callers reach the service.
    pub hosts: Vec<String>,
    /// For a home region, the share of its traffic that each region serves.
    /// A region that is not listed serves its own traffic.
    #[serde(default)]
    pub shares: BTreeMap<RegionName, BTreeMap<RegionName, f64>>,
    /// Targets of the service.
    pub targets: BTreeMap<TargetName, TargetSettings>,
}
