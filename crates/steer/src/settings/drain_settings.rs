//! Settings that take targets, availability zones, regions or VMs out of service.

use crate::{AvailabilityZoneName, RegionName, TargetName, VmName};
use jiff::Timestamp;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What is drained: it receives no new requests, and running requests finish.
///
/// ```
/// use steer::{DrainSettings, TargetName};
/// let drain: DrainSettings = serde_json::from_str(r#"{ "target": "briefs-1" }"#).unwrap();
/// assert_eq!(drain, DrainSettings::Target(TargetName::from("briefs-1")));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainSettings {
    /// One entry VM.
    EntryVm(VmName),
    /// All targets of a region.
    Region(RegionName),
    /// One target.
    Target(TargetName),
    /// All targets of an availability zone.
    Zone(AvailabilityZoneName),
}

impl DrainSettings {
    /// Returns the name of what is drained.
    ///
    /// ```
    /// assert_eq!(steer::DrainSettings::Zone("lis-a".into()).name(), "lis-a");
    /// ```
    pub fn name(&self) -> &str {
        match self {
            Self::EntryVm(name) => name.as_str(),
            Self::Region(name) => name.as_str(),
            Self::Target(name) => name.as_str(),
            Self::Zone(name) => name.as_str(),
        }
    }
}

/// A planned drain with a start and an end time.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Maintenance {
    /// What is drained.
    pub drain: DrainSettings,
    /// When the drain begins, as an RFC 3339 time.
    #[schemars(with = "String")]
    pub from: Timestamp,
    /// When the drain ends, as an RFC 3339 time.
    #[schemars(with = "String")]
    pub until: Timestamp,
}

impl Maintenance {
    /// Returns whether the window is open at the given time.
    ///
    /// ```
    /// use steer::{DrainSettings, Maintenance};
    /// let window = Maintenance {
    ///     drain: DrainSettings::Region("porto".into()),
    ///     from: "2026-01-01T00:00:00Z".parse().unwrap(),
    ///     until: "2026-01-01T01:00:00Z".parse().unwrap(),
    /// };
    /// assert!(window.is_open("2026-01-01T00:30:00Z".parse().unwrap()));
    /// ```
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.from <= now && now < self.until
    }
}
