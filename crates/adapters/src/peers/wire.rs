//! Peer messages as they are encoded; names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use steer::{
    EntryVm, Fingerprint, Heartbeat, PoolKey, PoolRoom, SettingsBatch, SettingsDocument,
    SettingsPath, SettingsQuery, Suspect, VmAddresses, VmState,
};

/// Method that exchanges heartbeats.
pub(super) const HEARTBEAT: &str = "heartbeat";
/// Method that asks for newer settings.
pub(super) const SETTINGS: &str = "settings";

/// Why a message can't be understood.
pub(super) type WireError = String;

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireHeartbeat {
    a: [SocketAddr; 4],
    d: u64,
    f: String,
    i: u64,
    n: String,
    r: String,
    s: WireState,
    u: BTreeMap<String, BTreeMap<String, [u32; 3]>>,
    z: String,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum WireState {
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
        let vm = &beat.vm;
        let VmAddresses { callers, handoff, operators, peers } = vm.addresses;
        let mut room: BTreeMap<String, BTreeMap<String, [u32; 3]>> = BTreeMap::new();
        for (key, pool) in &beat.room {
            let zones = room.entry(key.service.to_string()).or_default();
            zones.insert(key.zone.to_string(), [pool.free, pool.queued, pool.slots]);
        }
        Self {
            a: [callers, handoff, operators, peers],
            d: beat.digest,
            f: vm.fleet.to_string(),
            i: vm.incarnation,
            n: vm.name.to_string(),
            r: vm.region.to_string(),
            s: beat.state.into(),
            u: room,
            z: vm.zone.to_string(),
        }
    }
}

impl From<WireHeartbeat> for Heartbeat {
    fn from(wire: WireHeartbeat) -> Self {
        let [callers, handoff, operators, peers] = wire.a;
        let mut room = BTreeMap::new();
        for (service, zones) in wire.u {
            for (zone, [free, queued, slots]) in zones {
                let key = PoolKey::new(service.as_str(), zone);
                room.insert(key, PoolRoom { free, queued, slots });
            }
        }
        Self {
            digest: wire.d,
            room,
            state: wire.s.into(),
            vm: EntryVm {
                addresses: VmAddresses { callers, handoff, operators, peers },
                fleet: wire.f.into(),
                incarnation: wire.i,
                name: wire.n.into(),
                region: wire.r.into(),
                zone: wire.z.into(),
            },
        }
    }
}

/// Method that tells which requests ended targets.
pub(super) const SUSPECTS: &str = "suspects";

/// Suspects as fingerprint, targets and age in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireSuspects(Vec<(String, Vec<String>, u64)>);

impl From<&[Suspect]> for WireSuspects {
    fn from(suspects: &[Suspect]) -> Self {
        let rows = suspects.iter().map(|suspect| {
            let targets = suspect.targets.iter().map(ToString::to_string).collect();
            (suspect.print.to_string(), targets, suspect.age.as_millis() as u64)
        });
        Self(rows.collect())
    }
}

impl TryFrom<WireSuspects> for Vec<Suspect> {
    type Error = WireError;

    fn try_from(wire: WireSuspects) -> Result<Self, WireError> {
        let rows = wire.0.into_iter().map(|(print, targets, age)| {
            let print = Fingerprint::parse(&print).ok_or_else(|| format!("no print: {print}"))?;
            let targets = targets.into_iter().map(|name| name.as_str().into()).collect();
            Ok(Suspect { age: Duration::from_millis(age), print, targets })
        });
        rows.collect()
    }
}

/// Versions by path.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireQuery(BTreeMap<String, u64>);

impl From<&SettingsQuery> for WireQuery {
    fn from(query: &SettingsQuery) -> Self {
        Self(query.versions.iter().map(|(path, v)| (path.to_string(), *v)).collect())
    }
}

impl TryFrom<WireQuery> for SettingsQuery {
    type Error = WireError;

    fn try_from(wire: WireQuery) -> Result<Self, WireError> {
        let mut versions = BTreeMap::new();
        for (path, version) in wire.0 {
            versions.insert(to_path(&path)?, version);
        }
        Ok(Self { versions })
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
