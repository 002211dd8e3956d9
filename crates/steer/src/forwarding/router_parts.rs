//! Parameters from which a router is created.

use crate::{Meter, PlacementLimits, Targets, Tracer, VmRecord};
use slog::Logger;
use std::{collections::BTreeMap, sync::Arc};

/// Ports that a router uses.
#[derive(Clone, Debug)]
pub struct RouterPorts {
    /// Records metrics.
    pub meter: Arc<dyn Meter>,
    /// Sends requests to targets.
    pub targets: Arc<dyn Targets>,
    /// Records traces.
    pub tracer: Arc<dyn Tracer>,
}

/// Identity of a VM, its ports, and the limits that apply to it.
#[derive(Clone, Debug)]
pub struct RouterParts {
    /// The log.
    pub log: Logger,
    /// The ports.
    pub ports: RouterPorts,
    /// Limits for cold targets.
    pub rules: PlacementLimits,
    /// This VM.
    pub vm: VmRecord,
    /// Region of each availability zone.
    pub zones: BTreeMap<crate::AvailabilityZoneName, crate::RegionName>,
}
