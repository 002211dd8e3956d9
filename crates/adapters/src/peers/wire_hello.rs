//! JSON encoding of hello messages. Field names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr};
use steer::{VmHello, VmName, VmRecord};

/// JSON-RPC method that exchanges hello messages.
pub(super) const HELLO: &str = "hello";

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireHello {
    /// Addresses for callers and for peers.
    a: [SocketAddr; 2],
    /// Thousandths of a core.
    #[serde(default)]
    c: u32,
    /// Incarnation.
    i: u64,
    /// Whether the sender accepts no new callers.
    l: bool,
    /// Live VMs in the region of the sender.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    m: BTreeSet<VmName>,
    /// Name.
    n: String,
    /// Region.
    r: String,
    /// Whether the sender has lost its connection to the store.
    #[serde(default)]
    s: bool,
    /// Availability zone.
    z: String,
}

impl From<&VmHello> for WireHello {
    fn from(hello: &VmHello) -> Self {
        let vm = &hello.vm;
        Self {
            a: [vm.callers, vm.peers],
            c: vm.capacity,
            i: vm.incarnation,
            l: hello.leaving,
            m: hello.live.clone(),
            n: vm.name.to_string(),
            r: vm.region.to_string(),
            s: hello.store_lost,
            z: vm.zone.to_string(),
        }
    }
}

impl From<WireHello> for VmHello {
    fn from(wire: WireHello) -> Self {
        let [callers, peers] = wire.a;
        let vm = VmRecord {
            callers,
            capacity: wire.c,
            incarnation: wire.i,
            name: wire.n.into(),
            peers,
            region: wire.r.into(),
            zone: wire.z.into(),
        };
        Self { leaving: wire.l, live: wire.m, store_lost: wire.s, vm }
    }
}
