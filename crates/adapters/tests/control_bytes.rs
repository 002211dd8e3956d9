//! Control traffic of a VM by fleet size, computed from the sizes of encoded messages.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, HttpPlatform, HttpTargets, RpcPeers, serve_peers};
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};
use steer::{
    ControlPart, Cursor, DelegateCandidate, EntryNode, EntryPorts, EntryVm, Exchange,
    HeartbeatPlan, NoMeter, NoTracer, PeerMessage, Peers, PoolKey, PoolRoom, RoomUpdate,
    SystemClock, Vm, VmAddresses, VmName,
};

/// Maximum control traffic that a VM may send, in bytes per second.
const MAX_SENT_RATE: f64 = 4096.0;

fn entry_vm(number: usize, zones: usize, vms: usize, address: SocketAddr) -> EntryVm {
    let zone = number / vms;
    EntryVm {
        addresses: VmAddresses {
            callers: address,
            handoff: address,
            operators: address,
            peers: address,
        },
        fleet: "fleet".into(),
        incarnation: 1_700_000_000_000_000,
        name: format!("entry-{number:04}").into(),
        region: format!("region-{:02}", zone / zones).into(),
        zone: format!("region-{:02}-{}", zone / zones, zone % zones).into(),
    }
}

fn make_node(vm: EntryVm) -> Arc<EntryNode> {
    let pool = ConnectionPool::new();
    let ports = EntryPorts {
        clock: Arc::new(SystemClock),
        meter: Arc::new(NoMeter),
        peers: Arc::new(RpcPeers::new(Arc::clone(&pool))),
        platform: Arc::new(HttpPlatform::new(vm.addresses.peers, "vm", Arc::clone(&pool))),
        targets: Arc::new(HttpTargets::new(pool)),
        tracer: Arc::new(NoTracer),
    };
    let (_, state) = Vm::join();
    Arc::new(EntryNode::new(vm, ports, state, Logger::root(Discard, o!())))
}

/// Returns the size in bytes of an exchange with the free capacity of this many pools.
async fn exchange_bytes(pools: usize) -> f64 {
    // A separate loopback address, so that no connection of another test can take the port.
    let address = TcpListener::bind("127.0.0.2:0").unwrap().local_addr().unwrap();
    let node = make_node(entry_vm(1, 1, 1, address));
    let _server = serve_peers(node, address).await.unwrap();
    let sender = make_node(entry_vm(2, 1, 1, "10.20.30.40:8083".parse().unwrap()));
    let peers = RpcPeers::new(ConnectionPool::new());
    peers.call(address, PeerMessage::Heartbeat(sender.heartbeat())).await.unwrap();
    let room: BTreeMap<PoolKey, PoolRoom> = (0..pools)
        .map(|n| {
            let key = PoolKey::new(format!("service-{n:04}").as_str(), "region-01-1");
            (key, PoolRoom { free: 40, queued: 0, slots: 72 })
        })
        .collect();
    let update =
        RoomUpdate { incarnation: sender.vm().incarnation, name: "entry-0002".into(), room };
    let rooms = if pools == 0 { Vec::new() } else { vec![update] };
    let cursor = Cursor(1_000_000);
    let message = Exchange {
        age: Some(std::time::Duration::from_secs(12)),
        base: cursor,
        digest: u64::MAX - 1,
        from: VmName::from("entry-0002"),
        incarnation: sender.vm().incarnation,
        rooms,
        seen: cursor,
        sent: cursor,
        ..Exchange::default()
    };
    let before = peers.usage().part(ControlPart::Heartbeats).sent;
    peers.call(address, PeerMessage::Exchange(message)).await.unwrap();
    (peers.usage().part(ControlPart::Heartbeats).sent - before) as f64
}

/// Returns the bytes per second that a VM sends in exchanges. Each pair of VMs has one exchange per
/// period, in which each of them sends one message.
fn sent_rate(plan: &HeartbeatPlan, own_pools: f64, base_bytes: f64, pool_bytes: f64) -> f64 {
    let periods = plan.periods.values().map(|period| 1.0 / period.as_secs_f64());
    let exchange_rate: f64 = periods.sum();
    exchange_rate * (base_bytes + own_pools * pool_bytes)
}

#[tokio::test]
async fn control_bytes_by_fleet_size() {
    let base_bytes = exchange_bytes(0).await;
    let pool_bytes = (exchange_bytes(101).await - exchange_bytes(1).await) / 100.0;
    let mut table = format!("an exchange: {base_bytes} bytes, each pool: {pool_bytes} bytes\n");
    writeln!(table, "  VMs zones regions | peers | bytes/s sent | delegate: peers | bytes/s sent")
        .unwrap();
    // Regions, zones per region, VMs per zone and pools per zone: from the present fleet with 3
    // services to the planned one with 2,700 sites in 149 zones.
    let shapes =
        [(1, 1, 2, 3), (3, 2, 1, 3), (3, 2, 2, 3), (10, 3, 8, 6), (30, 3, 16, 12), (53, 3, 25, 18)];
    for (regions, zones, vms, pools) in shapes {
        let total = regions * zones * vms;
        let at = |n: usize| SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 8083));
        let all: Vec<EntryVm> = (0..total).map(|n| entry_vm(n, zones, vms, at(n))).collect();
        let mut plans: Vec<(bool, usize, f64)> = Vec::new();
        for own in all.iter().take(zones * vms) {
            let others: Vec<_> = all.iter().filter(|vm| vm.name != own.name).collect();
            let others: Vec<_> =
                others.into_iter().map(|vm| DelegateCandidate { serving: true, vm }).collect();
            let plan = HeartbeatPlan::new(own, &others);
            plans.push((
                plan.delegate,
                plan.periods.len(),
                sent_rate(&plan, pools as f64 / vms as f64, base_bytes, pool_bytes),
            ));
        }
        let most = |delegate: bool| {
            let of_role = plans.iter().filter(|(role, ..)| *role == delegate);
            of_role.fold((0, 0.0_f64), |most, (_, peers, bytes)| {
                (most.0.max(*peers), most.1.max(*bytes))
            })
        };
        let (plain, delegate) = (most(false), most(true));
        writeln!(
            table,
            "{total:>5} {:>5} {regions:>7} | {:>5} | {:>12.0} | {:>15} | {:>12.0}",
            regions * zones,
            plain.0,
            plain.1,
            delegate.0,
            delegate.1
        )
        .unwrap();
        assert!(plain.1 <= MAX_SENT_RATE, "{table}");
        assert!(delegate.1 <= MAX_SENT_RATE, "{table}");
    }
    insta::assert_snapshot!(table);
}
