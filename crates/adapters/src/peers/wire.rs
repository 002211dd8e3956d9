//! Peer messages as they are encoded; names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use steer::{
    EntryVm, Heartbeat, PoolKey, PoolRoom, SettingsBatch, SettingsDocument, SettingsPath,
    SettingsQuery, VmAddresses, VmState,
};

/// Method that exchanges introductions.
pub(super) const HEARTBEAT: &str = "heartbeat";
/// Method that exchanges what changed.
pub(super) const EXCHANGE: &str = "x";
/// Method that asks for newer settings.
pub(super) const SETTINGS: &str = "settings";

/// Why a message can't be understood.
pub(super) type WireError = String;

pub(super) type WireRoom = BTreeMap<String, BTreeMap<String, [u32; 3]>>;

/// Who a VM is.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireEntryVm {
    a: [SocketAddr; 4],
    f: String,
    i: u64,
    n: String,
    r: String,
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
    d: u64,
    e: u64,
    s: WireState,
    u: WireRoom,
    v: WireEntryVm,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) enum WireState {
    D,
    J,
    S,
    X,
}

impl From<VmState> for WireState {
    fn from(state: VmState) -> Self {
        match state {
            VmState::Draining => Self::D,
            VmState::Joining => Self::J,
            VmState::Serving => Self::S,
            VmState::Stopped => Self::X,
        }
    }
}

impl From<WireState> for VmState {
    fn from(state: WireState) -> Self {
        match state {
            WireState::D => Self::Draining,
            WireState::J => Self::Joining,
            WireState::S => Self::Serving,
            WireState::X => Self::Stopped,
        }
    }
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(beat: &Heartbeat) -> Self {
        Self {
            d: beat.digest,
            e: beat.refutation,
            s: beat.state.into(),
            u: to_wire_room(&beat.room),
            v: WireEntryVm::from(&beat.vm),
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

/// Versions by path, and whether only these paths are asked for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireQuery(BTreeMap<String, u64>, bool);

impl From<&SettingsQuery> for WireQuery {
    fn from(query: &SettingsQuery) -> Self {
        let versions = query.versions.iter().map(|(path, v)| (path.to_string(), *v));
        Self(versions.collect(), query.named)
    }
}

impl TryFrom<WireQuery> for SettingsQuery {
    type Error = WireError;

    fn try_from(wire: WireQuery) -> Result<Self, WireError> {
        Ok(Self { named: wire.1, versions: to_versions(wire.0)? })
    }
}

/// Documents as path, version and text.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireBatch(Vec<(String, u64, String)>);

impl From<&SettingsBatch> for WireBatch {
    fn from(batch: &SettingsBatch) -> Self {
        let rows = batch.documents.iter();
        Self(rows.map(|d| (d.path.to_string(), d.version, d.text.to_string())).collect())
    }
}

impl TryFrom<WireBatch> for SettingsBatch {
    type Error = WireError;

    fn try_from(wire: WireBatch) -> Result<Self, WireError> {
        let rows = wire.0.into_iter().map(|(path, version, text)| {
            Ok(SettingsDocument { path: to_path(&path)?, text: text.into(), version })
        });
        Ok(Self { documents: rows.collect::<Result<_, WireError>>()? })
    }
}

fn to_path(text: &str) -> Result<SettingsPath, WireError> {
    SettingsPath::parse(text).ok_or_else(|| format!("no settings path: {text}"))
}

/// Reads versions by path.
pub(super) fn to_versions(
    wire: BTreeMap<String, u64>,
) -> Result<BTreeMap<SettingsPath, u64>, WireError> {
    wire.into_iter().map(|(path, version)| Ok((to_path(&path)?, version))).collect()
}
