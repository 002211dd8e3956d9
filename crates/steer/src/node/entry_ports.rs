//! The ports that an entry VM works with.

use crate::{Clock, Meter, Peers, Platform, Targets, Tracer};
use std::sync::Arc;

/// One adapter for each port.
#[derive(Clone, Debug)]
pub struct EntryPorts {
    /// Wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub meter: Arc<dyn Meter>,
    /// Other entry VMs.
    pub peers: Arc<dyn Peers>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Targets.
    pub targets: Arc<dyn Targets>,
    /// Traces.
    pub tracer: Arc<dyn Tracer>,
}
