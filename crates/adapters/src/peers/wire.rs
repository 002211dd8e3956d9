//! JSON encoding of peer messages. Field names are short because messages are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use steer::{
    EntryVm, Heartbeat, PoolKey, PoolRoom, SettingsBatch, SettingsDocument, SettingsPath,
    SettingsQuery, VmAddresses, VmState,
};

/// JSON-RPC method that exchanges full heartbeats, as the first message of two VMs.
pub(super) const HEARTBEAT: &str = "heartbeat";
/// JSON-RPC method that exchanges changes since the last message.
pub(super) const EXCHANGE: &str = "x";
/// JSON-RPC method that queries newer settings.
pub(super) const SETTINGS: &str = "settings";

/// Reason why a message can't be decoded.
pub(super) type WireError = String;

/// Free, queued and total slots by service and zone.
pub(super) type WireRoom = BTreeMap<String, BTreeMap<String, [u32; 3]>>;

/// Identity of a VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireEntryVm {
    /// Addresses for callers, forwarded requests, operators and peers.
    a: [SocketAddr; 4],
    /// Fleet.
    f: String,
    /// Incarnation.
    i: u64,
    /// Name.
    n: String,
    /// Region.
    r: String,
    /// Availability zone.
    z: String,
}

impl From<&EntryVm> for WireEntryVm {
    fn from(vm: &EntryVm) -> Self {
        let VmAddresses { callers, handoff, operators, peers } = vm.addresses;
        Self {
            a: [callers, handoff, operators, peers],
            f: vm.fleet.to_string(),
            i: vm.incarnation,
            n: vm.name.to_string(),
            r: vm.region.to_string(),
            z: vm.zone.to_string(),
        }
    }
}

impl From<WireEntryVm> for EntryVm {
    fn from(wire: WireEntryVm) -> Self {
        let [callers, handoff, operators, peers] = wire.a;
        Self {
            addresses: VmAddresses { callers, handoff, operators, peers },
            fleet: wire.f.into(),
            incarnation: wire.i,
            name: wire.n.into(),
            region: wire.r.into(),
            zone: wire.z.into(),
        }
    }
}

pub(super) fn to_wire_room(pools: &BTreeMap<PoolKey, PoolRoom>) -> WireRoom {
    let mut room = WireRoom::new();
    for (key, pool) in pools {
        let zones = room.entry(key.service.to_string()).or_default();
        zones.insert(key.zone.to_string(), [pool.free, pool.queued, pool.slots]);
    }
    room
}

pub(super) fn from_wire_room(wire: WireRoom) -> BTreeMap<PoolKey, PoolRoom> {
    let mut room = BTreeMap::new();
    for (service, zones) in wire {
        for (zone, [free, queued, slots]) in zones {
            let key = PoolKey::new(service.as_str(), zone);
            room.insert(key, PoolRoom { free, queued, slots });
        }
    }
    room
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireHeartbeat {
    /// Digest of the settings in force.
    d: u64,
    /// Refutation count of the sender.
    e: u64,
    /// Life cycle state of the sender.
    s: WireVmState,
    /// Free capacity of the pools that the sender owns.
    u: WireRoom,
    /// Identity of the sender.
    v: WireEntryVm,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) enum WireVmState {
    /// Draining.
    D,
    /// Joining.
    J,
    /// Serving.
    S,
    /// Stopped.
    X,
}

impl From<VmState> for WireVmState {
    fn from(state: VmState) -> Self {
        match state {
            VmState::Draining => Self::D,
            VmState::Joining => Self::J,
            VmState::Serving => Self::S,
            VmState::Stopped => Self::X,
        }
    }
}

impl From<WireVmState> for VmState {
    fn from(state: WireVmState) -> Self {
        match state {
            WireVmState::D => Self::Draining,
            WireVmState::J => Self::Joining,
            WireVmState::S => Self::Serving,
            WireVmState::X => Self::Stopped,
        }
    }
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            d: heartbeat.digest,
            e: heartbeat.refutation,
            s: heartbeat.state.into(),
            u: to_wire_room(&heartbeat.room),
            v: WireEntryVm::from(&heartbeat.vm),
        }
    }
}

impl From<WireHeartbeat> for Heartbeat {
    fn from(wire: WireHeartbeat) -> Self {
        Self {
            digest: wire.d,
            refutation: wire.e,
            room: from_wire_room(wire.u),
            state: wire.s.into(),
            vm: wire.v.into(),
        }
    }
}

/// Known versions by path, and whether only these paths are queried.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireSettingsQuery(BTreeMap<String, u64>, bool);

impl From<&SettingsQuery> for WireSettingsQuery {
    fn from(query: &SettingsQuery) -> Self {
        let versions = query.versions.iter().map(|(path, v)| (path.to_string(), *v));
        Self(versions.collect(), query.named)
    }
}

impl TryFrom<WireSettingsQuery> for SettingsQuery {
    type Error = WireError;

    fn try_from(wire: WireSettingsQuery) -> Result<Self, WireError> {
        Ok(Self { named: wire.1, versions: to_versions(wire.0)? })
    }
}

/// Documents as tuples of path, version and text.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireSettingsBatch(Vec<(String, u64, String)>);

impl From<&SettingsBatch> for WireSettingsBatch {
    fn from(batch: &SettingsBatch) -> Self {
        let rows = batch.documents.iter();
        Self(rows.map(|d| (d.path.to_string(), d.version, d.text.to_string())).collect())
    }
}

impl TryFrom<WireSettingsBatch> for SettingsBatch {
    type Error = WireError;

    fn try_from(wire: WireSettingsBatch) -> Result<Self, WireError> {
        let rows = wire.0.into_iter().map(|(path, version, text)| {
            Ok(SettingsDocument { path: to_path(&path)?, text: text.into(), version })
        });
        Ok(Self { documents: rows.collect::<Result<_, WireError>>()? })
    }
}

fn to_path(text: &str) -> Result<SettingsPath, WireError> {
    SettingsPath::parse(text).ok_or_else(|| format!("no settings path: {text}"))
}

/// Decodes versions by path.
pub(super) fn to_versions(
    wire: BTreeMap<String, u64>,
) -> Result<BTreeMap<SettingsPath, u64>, WireError> {
    wire.into_iter().map(|(path, version)| Ok((to_path(&path)?, version))).collect()
}
