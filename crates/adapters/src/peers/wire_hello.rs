//! JSON encoding of hello messages. Field names are short because they are sent often.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use steer::{
    AvailabilityZoneName, CrashNews, Fingerprint, LimitNews, TargetIncarnation, TargetName,
    VmHello, VmName, VmRecord, ZoneReport,
};

/// JSON-RPC method that exchanges hello messages.
pub(super) const HELLO: &str = "hello";

type WireCrashes = (String, u64, Vec<(TargetName, u64)>);

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
    /// Live VMs in the region of the sender, for VMs that don't know `p`.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    m: BTreeSet<VmName>,
    /// Name.
    n: String,
    /// Whether no changes in the store reach the sender. Missing from VMs that tell it by `s`.
    #[serde(default)]
    o: Option<bool>,
    /// Live VMs of availability zones.
    #[serde(default)]
    p: Option<Vec<WireReport>>,
    /// Requests that were running when targets crashed, as tuples of the fingerprint, the age in
    /// milliseconds, and the names and start times of the targets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    q: Vec<WireCrashes>,
    /// Region.
    r: String,
    /// Whether the sender's own calls to the store fail.
    #[serde(default)]
    s: bool,
    /// Availability zones in whose reports names are missing.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    w: BTreeSet<AvailabilityZoneName>,
    /// Availability zone.
    z: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct WireReport {
    /// Age in milliseconds.
    a: u64,
    /// Digest of the names.
    d: u64,
    /// Names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    m: Option<BTreeSet<VmName>>,
    /// Availability zone.
    z: AvailabilityZoneName,
}

impl From<&ZoneReport> for WireReport {
    fn from(report: &ZoneReport) -> Self {
        Self {
            a: millis(report.age),
            d: report.digest,
            m: report.live.as_deref().cloned(),
            z: report.zone.clone(),
        }
    }
}

impl From<WireReport> for ZoneReport {
    fn from(wire: WireReport) -> Self {
        let age = Duration::from_millis(wire.a);
        // The digest of the names that arrived, whatever the sender says of them.
        match wire.m {
            Some(live) => Self { age, ..Self::new(wire.z, live) },
            None => Self { age, digest: wire.d, live: None, zone: wire.z },
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
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
            o: Some(hello.outdated),
            p: hello.reports.as_ref().map(|reports| reports.iter().map(Into::into).collect()),
            q: hello.crashes.iter().map(encode_crashes).collect(),
            r: vm.region.to_string(),
            s: hello.store_lost,
            w: hello.wanted.clone(),
            z: vm.zone.to_string(),
        }
    }
}

fn encode_limit(news: &LimitNews) -> (TargetName, u64, Option<f64>, u64) {
    (news.target.clone(), news.born, news.rate, millis(news.age))
}

/// Decodes a change of a limit; `None` if its rate can't be one.
fn decode_limit(wire: (TargetName, u64, Option<f64>, u64)) -> Option<LimitNews> {
    let (target, born, rate, age) = wire;
    let is_valid = rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
    is_valid.then(|| LimitNews { age: Duration::from_millis(age), born, rate, target })
}

fn encode_crashes(news: &CrashNews) -> WireCrashes {
    let targets = news.crashed.iter().map(|target| (target.name.clone(), target.born)).collect();
    (news.fingerprint.to_string(), millis(news.age), targets)
}

/// Decodes news of a request; `None` if its fingerprint can't be one.
fn decode_crashes((fingerprint, age, targets): WireCrashes) -> Option<CrashNews> {
    let fingerprint = Fingerprint::parse(&fingerprint)?;
    let targets = targets.into_iter().map(|(name, born)| TargetIncarnation { born, name });
    let crashed = targets.collect();
    Some(CrashNews { age: Duration::from_millis(age), crashed, fingerprint })
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
        Self {
            crashes: wire.q.into_iter().filter_map(decode_crashes).collect(),
            leaving: wire.l,
            limits,
            live: wire.m,
            outdated: wire.o.unwrap_or(wire.s),
            reports: wire.p.map(|reports| reports.into_iter().map(Into::into).collect()),
            store_lost: wire.s,
            vm,
            wanted: wire.w,
        }
    }
}
