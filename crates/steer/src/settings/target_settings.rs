//! Settings of a target.

use crate::AvailabilityZoneName;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of a target.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Address that accepts HTTP requests.
    pub address: SocketAddr,
    /// Maximum number of connections that the target accepts.
    #[serde(default = "TargetSettings::default_connections")]
    pub connections: u32,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Availability zone of the target.
    pub zone: AvailabilityZoneName,
}

impl TargetSettings {
    fn default_connections() -> u32 {
        256
    }
}
