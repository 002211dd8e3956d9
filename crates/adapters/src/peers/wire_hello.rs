//! JSON encoding of hello messages. Field names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use steer::{LimitNews, TargetName, VmHello, VmName, VmRecord};

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
    /// Changes of limits as tuples of the target's name, its start time, requests a second and age in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    k: Vec<(TargetName, u64, Option<f64>, u64)>,
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
            k: hello.limits.iter().map(encode_limit).collect(),
            l: hello.leaving,
            m: hello.live.clone(),
            n: vm.name.to_string(),
            r: vm.region.to_string(),
            s: hello.store_lost,
            z: vm.zone.to_string(),
        }
    }
}

fn encode_limit(news: &LimitNews) -> (TargetName, u64, Option<f64>, u64) {
    let age = u64::try_from(news.age.as_millis()).unwrap_or(u64::MAX);
    (news.target.clone(), news.born, news.rate, age)
}

/// Decodes a change of a limit; `None` if its rate can't be one.
fn decode_limit(wire: (TargetName, u64, Option<f64>, u64)) -> Option<LimitNews> {
    let (target, born, rate, age) = wire;
    let is_valid = rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
    is_valid.then(|| LimitNews { age: Duration::from_millis(age), born, rate, target })
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
        let limits = wire.k.into_iter().filter_map(decode_limit).collect();
        Self { leaving: wire.l, limits, live: wire.m, store_lost: wire.s, vm }
    }
}
