//! Greetings between VMs as they are encoded; names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use steer::{VmHello, VmRecord};

/// Method that exchanges greetings.
pub(super) const HELLO: &str = "hello";

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireHello {
    /// Addresses for callers and for VMs.
    a: [SocketAddr; 2],
    i: u64,
    l: bool,
    n: String,
    r: String,
    #[serde(default)]
    s: bool,
    z: String,
}

impl From<&VmHello> for WireHello {
    fn from(hello: &VmHello) -> Self {
        let vm = &hello.vm;
        Self {
            a: [vm.callers, vm.peers],
            i: vm.incarnation,
            l: hello.leaving,
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
            incarnation: wire.i,
            name: wire.n.into(),
            peers,
            region: wire.r.into(),
            zone: wire.z.into(),
        };
        Self { leaving: wire.l, store_lost: wire.s, vm }
    }
}
