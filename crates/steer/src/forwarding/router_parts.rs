//! What a router is made of.

use crate::{BoardRules, Meter, Targets, Tracer, VmRecord};
use slog::Logger;
use std::{collections::BTreeMap, sync::Arc};

/// The ports that a router uses.
#[derive(Clone, Debug)]
pub struct RouterPorts {
    /// Counts and times.
    pub meter: Arc<dyn Meter>,
    /// Sends to targets.
    pub targets: Arc<dyn Targets>,
    /// Traces.
    pub tracer: Arc<dyn Tracer>,
}

/// Who the VM is, where it stands and which bounds hold.
#[derive(Clone, Debug)]
pub struct RouterParts {
    /// The log.
    pub log: Logger,
    /// The ports.
    pub ports: RouterPorts,
    /// Bounds for cold targets.
    pub rules: BoardRules,
    /// This VM.
    pub vm: VmRecord,
    /// Region of each availability zone.
    pub zones: BTreeMap<crate::AvailabilityZoneName, crate::RegionName>,
}
