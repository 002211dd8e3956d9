//! The settings of one process.

use adapters::{LogFormat, TraceOutput};
use serde::Deserialize;
use std::{fs, io, net::SocketAddr, path::Path};
use steer::{AvailabilityZoneName, EntryVm, FleetName, RegionName, VmAddresses, VmName};

/// What an entry VM learns from its own file: who it is and where the platform is.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ProcessSettings {
    pub(crate) callers: SocketAddr,
    pub(crate) fleet: FleetName,
    pub(crate) handoff: SocketAddr,
    #[serde(default)]
    pub(crate) log: LogSettings,
    #[serde(default)]
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) name: VmName,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) region: RegionName,
    /// Longest time for work under way after the first signal to stop, in seconds.
    #[serde(default)]
    pub(crate) drain_s: Option<u64>,
    #[serde(default)]
    pub(crate) seeds: Vec<SocketAddr>,
    #[serde(default)]
    pub(crate) traces: Option<TraceSettings>,
    pub(crate) zone: AvailabilityZoneName,
}

/// How the process logs.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct LogSettings {
    pub(crate) format: LogFormat,
    pub(crate) level: Option<String>,
}

/// Where spans go, and how many.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceSettings {
    pub(crate) output: TraceOutput,
    #[serde(default)]
    pub(crate) ratio: f64,
}

impl ProcessSettings {
    /// Reads a file of JSON with comments.
    pub(crate) fn read(path: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(path)
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", path.display())))?;
        jsonc_parser::parse_to_serde_value(&text, &Default::default())
            .map_err(|e| io::Error::other(format!("{}: {e}", path.display())))
    }

    /// Who this VM is; a later start has a higher incarnation.
    pub(crate) fn entry_vm(&self, incarnation: u64) -> EntryVm {
        EntryVm {
            addresses: VmAddresses {
                callers: self.callers,
                handoff: self.handoff,
                operators: self.operators,
                peers: self.peers,
            },
            fleet: self.fleet.clone(),
            incarnation,
            name: self.name.clone(),
            region: self.region.clone(),
            zone: self.zone.clone(),
        }
    }
}
