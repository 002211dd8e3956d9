//! Settings file of an entry VM process.

use adapters::{LogFormat, TraceOutput};
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Level;
use std::{fs, io, net::SocketAddr, path::Path, str::FromStr};
use steer::{
    AvailabilityZoneName, EntryVm, FleetName, Position, Problem, RegionName, ValuePath,
    VmAddresses, VmName, parse_jsonc,
};

/// What an entry VM learns from its own file: who it is and where the platform is.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct ProcessSettings {
    /// Address for requests and look-ups of callers.
    pub(crate) callers: SocketAddr,
    /// Name of the fleet.
    pub(crate) fleet: FleetName,
    /// Address for requests that peers hand over.
    pub(crate) handoff: SocketAddr,
    /// The log.
    #[serde(default)]
    pub(crate) log: LogSettings,
    /// Address of a statsd server.
    #[serde(default)]
    pub(crate) metrics: Option<SocketAddr>,
    /// Name of this VM, its own in the fleet.
    pub(crate) name: VmName,
    /// Address for operators.
    pub(crate) operators: SocketAddr,
    /// Address for peers' messages.
    pub(crate) peers: SocketAddr,
    /// Address of the platform.
    pub(crate) platform: SocketAddr,
    /// Region of this VM.
    pub(crate) region: RegionName,
    /// Longest time for work under way after the first signal to stop, in seconds.
    #[serde(default)]
    pub(crate) drain_s: Option<u64>,
    /// Addresses of peers that are asked first, should the platform not answer.
    #[serde(default)]
    pub(crate) seeds: Vec<SocketAddr>,
    /// Traces; none without it.
    #[serde(default)]
    pub(crate) traces: Option<TraceSettings>,
    /// Availability zone of this VM.
    pub(crate) zone: AvailabilityZoneName,
}

/// How the process logs.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct LogSettings {
    /// How lines are written.
    pub(crate) format: LogFormat,
    /// Least level that is kept: critical, error, warning, info, debug or trace.
    pub(crate) level: Option<String>,
}

/// Where spans go, and how many.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceSettings {
    /// Where spans go.
    pub(crate) output: TraceOutput,
    /// Part of the traces that is kept, from 0 to 1, where the caller says nothing.
    #[serde(default)]
    pub(crate) ratio: f64,
}

impl ProcessSettings {
    /// Reads and checks a file of JSON with comments.
    pub(crate) fn read(path: &Path) -> io::Result<Self> {
        let file = path.display();
        let text = fs::read_to_string(path)
            .map_err(|e| io::Error::new(e.kind(), format!("{file}: {e}")))?;
        Self::parse(&text).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(|p| format!("{file}:{p}")).collect();
            io::Error::other(lines.join("\n"))
        })
    }

    /// Parses and checks a text of JSON with comments.
    pub(crate) fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let settings: Self = parse_jsonc(text)?;
        let problem = |(path, reason): (ValuePath, String)| {
            Problem::new(path.to_string(), reason).with_position(Position::from_path(text, &path))
        };
        let problems: Vec<Problem> = settings.check().into_iter().map(problem).collect();
        if problems.is_empty() { Ok(settings) } else { Err(problems) }
    }

    /// Finds problems that the schema can't express, each with its path in the document.
    fn check(&self) -> Vec<(ValuePath, String)> {
        let mut found = Vec::new();
        let listeners = [
            ("callers", self.callers),
            ("handoff", self.handoff),
            ("operators", self.operators),
            ("peers", self.peers),
        ];
        for (i, (key, address)) in listeners.iter().enumerate() {
            let path = ValuePath::root().key(*key);
            if let Some((other, _)) = listeners[..i].iter().find(|(_, a)| a == address) {
                let reason = format!("`{address}` is the address of `{other}` already");
                found.push((path.clone(), reason));
            }
            if address.ip().is_unspecified() || address.port() == 0 {
                let reason = format!("`{address}` can't be reached by others; name IP and port");
                found.push((path, reason));
            }
        }
        let level = self.log.level.as_deref().filter(|level| Level::from_str(level).is_err());
        if let Some(level) = level {
            let known = ["critical", "debug", "error", "info", "trace", "warning"];
            let reason = format!("unknown level `{level}`; {}", steer::suggest_name(level, known));
            found.push((ValuePath::root().key("log").key("level"), reason));
        }
        let ratio = self.traces.as_ref().map_or(0.0, |traces| traces.ratio);
        if !(0.0..=1.0).contains(&ratio) {
            let reason = format!("{ratio} is out of range; expected from 0 to 1");
            found.push((ValuePath::root().key("traces").key("ratio"), reason));
        }
        found
    }

    /// Identity of this VM. The incarnation must increase with each start.
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
