//! The adapters that an entry VM uses.

use crate::{Clock, Meter, Peers, Platform, Targets, Tracer};
use std::sync::Arc;

/// The adapter of each port.
#[derive(Clone, Debug)]
pub struct EntryPorts {
    /// Wall clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub meter: Arc<dyn Meter>,
    /// Messages to other entry VMs.
    pub peers: Arc<dyn Peers>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Requests to targets.
    pub targets: Arc<dyn Targets>,
    /// Traces.
    pub tracer: Arc<dyn Tracer>,
}
