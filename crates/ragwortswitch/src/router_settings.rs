//! Settings file of an entry VM on the users' platform, which the platform writes from a template.

use crate::process_settings::TraceSettings;
use schemars::JsonSchema;
use serde::Deserialize;
use std::{collections::BTreeMap, fs, io, net::SocketAddr, path::Path, time::Duration};
use steer::{
    AvailabilityZoneName, BufferBudget, ChangeLimits, PlacementLimits, RegionName, VmName,
    VmRecord, parse_jsonc,
};

/// Identity, addresses and limits of the VM.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouterSettings {
    /// Seconds within which a configuration must be in force everywhere.
    #[serde(default = "RouterSettings::default_limit")]
    pub(crate) apply_s: f64,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub(crate) bootstrap: bool,
    /// Address for callers' requests.
    pub(crate) callers: SocketAddr,
    /// Number of cores visible to this VM.
    pub(crate) cores: f64,
    /// Requests per second that a cold target may receive above its rate, from all VMs together.
    pub(crate) cold_burst: f64,
    /// Factor on a cold target's rate.
    pub(crate) cold_factor: f64,
    /// Fraction of the cores that this VM may use.
    pub(crate) cpu_share: f64,
    /// Maximum number of file descriptors of the process.
    pub(crate) descriptors: usize,
    /// Address of the directory.
    pub(crate) directory: SocketAddr,
    /// Seconds after which a target that leaves must get no more requests.
    #[serde(default = "RouterSettings::default_limit")]
    pub(crate) drain_s: f64,
    /// Seconds within which an evacuation must be in force everywhere.
    #[serde(default = "RouterSettings::default_limit")]
    pub(crate) evacuate_s: f64,
    /// Seconds between SIGTERM and SIGKILL.
    pub(crate) grace_s: f64,
    /// Lowest level that is logged: critical, error, warning, info, debug or trace.
    #[serde(default)]
    pub(crate) log_level: Option<String>,
    /// Fraction of a region's requests that may move to another region within two seconds.
    pub(crate) max_shift: f64,
    /// Memory of this VM in MB; without it, the number of connections isn't bounded by memory.
    #[serde(default)]
    pub(crate) memory_mb: Option<usize>,
    /// Address of the metrics.
    pub(crate) metrics: SocketAddr,
    /// Name of this VM.
    pub(crate) name: VmName,
    /// Address for other VMs.
    pub(crate) peers: SocketAddr,
    /// Address of the readiness check.
    pub(crate) ready: SocketAddr,
    /// Region of this VM.
    pub(crate) region: RegionName,
    /// Addresses of VMs that are contacted first.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Seconds after a disturbance of the network from which the limits on changes hold.
    #[serde(default = "RouterSettings::default_stable")]
    pub(crate) stable_s: f64,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
    /// Trace output; without it, no traces are recorded.
    #[serde(default)]
    pub(crate) traces: Option<TraceSettings>,
    /// Availability zone of this VM.
    pub(crate) zone: AvailabilityZoneName,
    /// Region of each availability zone.
    pub(crate) zones: BTreeMap<AvailabilityZoneName, RegionName>,
}

impl RouterSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// The message names the file and, for each problem, its line, column, path and remedy.
    pub(crate) fn read(path: &Path) -> io::Result<Self> {
        let file = path.display();
        let text = fs::read_to_string(path)
            .map_err(|e| io::Error::new(e.kind(), format!("{file}: {e}")))?;
        parse_jsonc(&text).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(|p| format!("{file}:{p}")).collect();
            io::Error::other(lines.join("\n"))
        })
    }

    /// Time between SIGTERM and SIGKILL.
    pub(crate) fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    fn default_limit() -> f64 {
        ChangeLimits::DEFAULT_LIMIT.as_secs_f64()
    }

    fn default_stable() -> f64 {
        ChangeLimits::DEFAULT_STABLE.as_secs_f64()
    }

    /// Times within which changes in the store must take effect.
    pub(crate) fn change_limits(&self) -> ChangeLimits {
        let time = |seconds| Duration::try_from_secs_f64(seconds).unwrap_or_default();
        ChangeLimits {
            apply: time(self.apply_s),
            drain: time(self.drain_s),
            evacuate: time(self.evacuate_s),
            stable: time(self.stable_s),
        }
    }

    /// Maximum number of caller connections. Uses half of the unreserved file descriptors, as each
    /// request also needs a connection to its target, and the memory that is left for connections
    /// whose callers don't read.
    pub(crate) fn max_connections(&self) -> usize {
        let by_descriptors = self.descriptors.saturating_sub(Self::RESERVED_DESCRIPTORS) / 2;
        let by_memory = self.memory_mb.map_or(usize::MAX, |memory| {
            let bytes = (memory << 20).saturating_sub(Self::RESERVED_BYTES);
            bytes.saturating_sub(BufferBudget::ROUTER_BYTES) / Self::CONNECTION_BYTES
        });
        by_descriptors.min(by_memory).max(1)
    }

    /// Memory for the process itself and for responses that wait for their turn.
    const RESERVED_BYTES: usize = 48 << 20;
    /// Memory of a request and its response in transit: the buffers of both connections, and the
    /// frames of a body whose caller doesn't read.
    const CONNECTION_BYTES: usize = 96 << 10;

    /// File descriptors reserved for files, the store, other VMs and the other listeners.
    const RESERVED_DESCRIPTORS: usize = 400;

    /// Limits for requests to cold targets and for traffic shifted between regions.
    pub(crate) fn rules(&self) -> PlacementLimits {
        PlacementLimits {
            cold_burst: self.cold_burst,
            cold_factor: self.cold_factor,
            max_shift: self.max_shift,
        }
    }

    /// Record of this VM. The incarnation must increase with each start.
    pub(crate) fn vm(&self, incarnation: u64) -> VmRecord {
        VmRecord {
            callers: self.callers,
            capacity: (self.cores * self.cpu_share * 1_000.0) as u32,
            incarnation,
            name: self.name.clone(),
            peers: self.peers,
            region: self.region.clone(),
            zone: self.zone.clone(),
        }
    }
}
