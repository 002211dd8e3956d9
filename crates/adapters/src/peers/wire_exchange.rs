//! JSON encoding of the incremental heartbeats that two VMs exchange after their full heartbeats.

use super::wire::{
    WireEntryVm, WireError, WireRoom, WireVmState, from_wire_room, to_versions, to_wire_room,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use steer::{Cursor, Exchange, RoomUpdate, VmUpdate};

/// Changes since the last message. Empty fields are omitted because exchanges are sent often.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireExchange {
    /// Seconds since the platform last confirmed the settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    a: Option<u64>,
    /// Cursors: base, seen and sent.
    c: [u64; 3],
    /// Digest of the settings in force.
    d: u64,
    /// Incarnation of the sender.
    i: u64,
    /// Names of leaving targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    l: Option<BTreeSet<String>>,
    /// Changed VMs: whether it is alive, refutation count, state and identity.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    m: Vec<(bool, u64, WireVmState, WireEntryVm)>,
    /// Name of the sender.
    n: String,
    /// Peer addresses of VMs that the receiver may not know.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    k: BTreeSet<SocketAddr>,
    /// Versions of changed settings, by path.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    o: BTreeMap<String, u64>,
    /// Suspected VMs: name, incarnation and refutation count.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    s: Vec<(String, u64, u64)>,
    /// Changed pools: name of the VM, its incarnation and room.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    u: Vec<(String, u64, WireRoom)>,
}

impl From<&Exchange> for WireExchange {
    fn from(exchange: &Exchange) -> Self {
        let members = exchange.members.iter();
        let rooms = exchange.rooms.iter();
        let suspects = exchange.suspects.iter();
        let leaving = exchange.leaving.as_ref();
        Self {
            a: exchange.age.map(|age| age.as_secs()),
            c: [exchange.base.0, exchange.seen.0, exchange.sent.0],
            d: exchange.digest,
            i: exchange.incarnation,
            k: exchange.mates.clone(),
            l: leaving.map(|names| names.iter().map(ToString::to_string).collect()),
            m: members
                .map(|m| (m.alive, m.refutation, m.state.into(), WireEntryVm::from(&m.vm)))
                .collect(),
            n: exchange.from.to_string(),
            o: exchange.offers.iter().map(|(path, v)| (path.to_string(), *v)).collect(),
            s: suspects.map(|(name, i, r)| (name.to_string(), *i, *r)).collect(),
            u: rooms.map(|r| (r.name.to_string(), r.incarnation, to_wire_room(&r.room))).collect(),
        }
    }
}

impl TryFrom<WireExchange> for Exchange {
    type Error = WireError;

    fn try_from(wire: WireExchange) -> Result<Self, WireError> {
        let [base, seen, sent] = wire.c.map(Cursor);
        let to_member = |(alive, refutation, state, vm): (_, _, WireVmState, WireEntryVm)| {
            VmUpdate { alive, refutation, state: state.into(), vm: vm.into() }
        };
        let to_room = |(name, incarnation, room): (String, _, _)| RoomUpdate {
            incarnation,
            name: name.into(),
            room: from_wire_room(room),
        };
        Ok(Self {
            age: wire.a.map(Duration::from_secs),
            base,
            digest: wire.d,
            from: wire.n.into(),
            incarnation: wire.i,
            leaving: wire.l.map(|names| names.into_iter().map(Into::into).collect()),
            mates: wire.k,
            members: wire.m.into_iter().map(to_member).collect(),
            offers: to_versions(wire.o)?,
            rooms: wire.u.into_iter().map(to_room).collect(),
            seen,
            sent,
            suspects: wire.s.into_iter().map(|(name, i, r)| (name.into(), i, r)).collect(),
        })
    }
}
