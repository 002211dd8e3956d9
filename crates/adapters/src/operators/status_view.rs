//! JSON view of the status of an entry VM.

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use steer::{
    ControlPart, DrainSettings, EntryNode, EntryVm, Maintenance, PartUsage, PoolKey, Problem,
    SettingsPath, ShiftSettings, ShiftStatus, Snapshot, VmState,
};
use tokio::time::Instant;

/// An entry VM in the status.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmView {
    /// Whether its active settings match those of the responding VM.
    pub current: bool,
    /// Digest of its active settings.
    pub digest: String,
    /// Time since it was last known to be alive in milliseconds; 0 for the responding VM.
    pub heard_ms: u64,
    /// Address of its operator endpoint.
    pub operators: SocketAddr,
    /// Region.
    pub region: String,
    /// Life cycle state.
    pub state: String,
    /// Availability zone.
    pub zone: String,
}

/// Free capacity of a pool, as reported by its owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoomView {
    /// Number of free slots.
    pub free: u32,
    /// Age of the report in milliseconds.
    pub heard_ms: u64,
    /// Entry VM that owns the pool.
    pub owner: String,
    /// Number of queued requests.
    pub queued: u32,
    /// Region of the targets.
    pub region: String,
    /// Service of the targets.
    pub service: String,
    /// Total slots of the targets in service.
    pub slots: u32,
    /// Availability zone of the targets.
    pub zone: String,
}

/// Problems of one version of a settings document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProblemsView {
    /// Line, column, path and reason of each problem.
    pub problems: Vec<String>,
    /// The version.
    pub version: u64,
}

impl ProblemsView {
    fn new(version: u64, problems: &[Problem]) -> Self {
        Self { problems: problems.iter().map(ToString::to_string).collect(), version }
    }
}

/// A traffic shift and its progress.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShiftView {
    /// Progress at the responding VM; `None` if the shift is out of another region.
    pub live: Option<LiveShift>,
    /// Share that the ramp allows now, from 0 to 1, provided that the shift is not held.
    pub now: f64,
    /// Settings of the shift.
    #[serde(flatten)]
    pub set: ShiftSettings,
}

/// Progress of a shift at the responding VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LiveShift {
    /// Maximum requests per second that this VM may shift.
    pub cap: u64,
    /// Share of the region's traffic that is shifted now, from 0 to 1.
    pub moving: f64,
    /// Phase of the shift, and the reason if it is held.
    pub phase: String,
    /// Requests that this VM shifted in the last second.
    pub used: u64,
}

impl From<&ShiftStatus> for LiveShift {
    fn from(status: &ShiftStatus) -> Self {
        let ShiftStatus { cap, moving, phase, used, .. } = status;
        Self { cap: *cap, moving: *moving, phase: phase.to_string(), used: *used }
    }
}

/// A share of a home region's traffic.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareView {
    /// Home region of the traffic.
    pub home: String,
    /// Region that serves the share.
    pub region: String,
    /// Service.
    pub service: String,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// Time since the platform confirmed the known data, directly or through a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnowledgeView {
    /// Age of the list of VMs in milliseconds.
    pub list_ms: Option<u64>,
    /// Age of the settings in milliseconds.
    pub settings_ms: Option<u64>,
}

/// Control traffic of one component since the process started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ControlView {
    /// Messages sent.
    pub messages: u64,
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

/// Status of an entry VM, including its view of its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusView {
    /// Control traffic of the responding VM by component.
    pub control: BTreeMap<String, ControlView>,
    /// Digest of the active settings.
    pub digest: String,
    /// Active drains, including those of open maintenance windows.
    pub drains: Vec<DrainSettings>,
    /// Name of the fleet.
    pub fleet: String,
    /// Age of the data from the platform.
    pub knowledge: KnowledgeView,
    /// Active documents of which a part is ignored, by path.
    pub limited: BTreeMap<String, ProblemsView>,
    /// Planned drains.
    pub maintenance: Vec<Maintenance>,
    /// Rejected versions, by path.
    pub refused: BTreeMap<String, ProblemsView>,
    /// Availability zones of each region.
    pub regions: BTreeMap<String, BTreeSet<String>>,
    /// Free capacity of each pool that has an owner.
    pub room: Vec<RoomView>,
    /// Traffic shares by service and home region.
    pub shares: Vec<ShareView>,
    /// Traffic shifts.
    pub shifts: Vec<ShiftView>,
    /// Number of requests in flight at the responding VM.
    pub under_way: usize,
    /// Active versions, by path.
    pub versions: BTreeMap<String, u64>,
    /// Name of the responding VM.
    pub vm: String,
    /// Entry VMs, including the responding one.
    pub vms: BTreeMap<String, VmView>,
    /// Versions that wait for the fleet document or for a change to another document, by path.
    pub waiting: BTreeMap<String, u64>,
}

impl StatusView {
    /// Collects the status of a node.
    pub fn new(node: &EntryNode) -> Self {
        let snapshot = node.snapshot();
        let now = node.ports().clock.now();
        let (refused, limited, versions, waiting) = node.with_tree(|tree| {
            let to_text = |(path, version): (&SettingsPath, u64)| (path.to_string(), version);
            let refused = tree.refused().map(|(p, v, list)| (p.to_string(), v, list.to_vec()));
            let refused: Vec<_> = refused.collect();
            let limited = tree.limited().into_iter().map(|(p, v, list)| (p.to_string(), v, list));
            (
                to_problems(refused),
                to_problems(limited),
                tree.versions().map(to_text).collect(),
                tree.waiting().map(to_text).collect(),
            )
        });
        let live = node.shift_statuses();
        let shift = |set: &ShiftSettings| {
            let is_same =
                |s: &&ShiftStatus| s.service == set.service && s.from == set.from && s.to == set.to;
            let live = live.iter().find(is_same).map(LiveShift::from);
            ShiftView { live, now: set.share_at(now), set: set.clone() }
        };
        let mut regions: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (zone, region) in snapshot.zones() {
            regions.entry(region.to_string()).or_default().insert(zone.to_string());
        }
        Self {
            control: read_control(node),
            digest: to_hex(node.heartbeat().digest),
            drains: snapshot.drains(now).cloned().collect(),
            fleet: node.vm().fleet.to_string(),
            knowledge: read_knowledge(node),
            limited,
            maintenance: snapshot.maintenance().to_vec(),
            refused,
            regions,
            room: read_room(node, &snapshot),
            shares: read_shares(&snapshot),
            shifts: snapshot.shifts().iter().map(shift).collect(),
            under_way: node.work().len(),
            versions,
            vm: node.vm().name.to_string(),
            vms: read_vms(node),
            waiting,
        }
    }
}

fn to_problems(
    list: impl IntoIterator<Item = (String, u64, Vec<Problem>)>,
) -> BTreeMap<String, ProblemsView> {
    list.into_iter()
        .map(|(path, version, problems)| (path, ProblemsView::new(version, &problems)))
        .collect()
}

fn to_hex(digest: u64) -> String {
    format!("{digest:016x}")
}

pub(super) fn to_millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

fn read_control(node: &EntryNode) -> BTreeMap<String, ControlView> {
    let view = |part| {
        let PartUsage { messages, received, sent } = node.control_usage(part);
        ControlView { messages, received, sent }
    };
    ControlPart::ALL.into_iter().map(|part| (part.to_string(), view(part))).collect()
}

fn read_knowledge(node: &EntryNode) -> KnowledgeView {
    let freshness = node.platform_freshness();
    let age = |then: Option<Instant>| then.map(|then| to_millis(then.elapsed()));
    KnowledgeView { list_ms: age(freshness.list_at), settings_ms: age(freshness.settings_at) }
}

fn read_vms(node: &EntryNode) -> BTreeMap<String, VmView> {
    let own = node.heartbeat();
    let now = Instant::now();
    let view = |vm: &EntryVm, state: VmState, digest: u64, last_alive: Instant| VmView {
        current: digest == own.digest,
        digest: to_hex(digest),
        heard_ms: to_millis(now.saturating_duration_since(last_alive)),
        operators: vm.addresses.operators,
        region: vm.region.to_string(),
        state: state.to_string(),
        zone: vm.zone.to_string(),
    };
    let peers = node.peers();
    let peers = peers.iter().map(|p| (&p.vm, p.state, p.digest, p.last_alive));
    peers
        .chain([(&own.vm, own.state, own.digest, now)])
        .map(|(vm, state, digest, last_alive)| {
            (vm.name.to_string(), view(vm, state, digest, last_alive))
        })
        .collect()
}

fn read_room(node: &EntryNode, snapshot: &Snapshot) -> Vec<RoomView> {
    let region = |key: &PoolKey| snapshot.region_of(&key.zone).map(ToString::to_string);
    node.known_pools()
        .into_iter()
        .map(|(key, pool)| RoomView {
            free: pool.room.free,
            heard_ms: to_millis(pool.age),
            owner: pool.owner.to_string(),
            queued: pool.room.queued,
            region: region(&key).unwrap_or_default(),
            service: key.service.to_string(),
            slots: pool.room.slots,
            zone: key.zone.to_string(),
        })
        .collect()
}

fn read_shares(snapshot: &Snapshot) -> Vec<ShareView> {
    let mut shares = Vec::new();
    for service in snapshot.services() {
        for (home, parts) in &service.settings.shares {
            shares.extend(parts.iter().map(|(region, share)| ShareView {
                home: home.to_string(),
                region: region.to_string(),
                service: service.name.to_string(),
                share: *share,
            }));
        }
    }
    shares
}
