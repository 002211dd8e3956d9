//! Contract test of the peer port, over loopback sockets.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, HttpPlatform, HttpTargets, RpcPeers, serve_peers};
use quickcheck::{Arbitrary, Gen};
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};
use steer::{
    ControlPart, EntryNode, EntryPorts, EntryVm, Exchange, Heartbeat, NoMeter, NoTracer, PeerError,
    PeerMessage, PeerReply, Peers, PoolKey, PoolRoom, SystemClock, Vm, VmAddresses, VmName,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Number of malformed messages.
const MALFORMED_MESSAGES: u64 = 2000;

/// Returns a loopback address without a listener. Each call uses another IP address, so that no
/// connection of another test can take the port.
fn free_address() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind((Ipv4Addr::new(127, 0, call, 4), 0)).unwrap().local_addr().unwrap()
}

fn entry_vm(name: &str, peers: SocketAddr) -> EntryVm {
    EntryVm {
        addresses: VmAddresses { callers: peers, handoff: peers, operators: peers, peers },
        fleet: "test".into(),
        incarnation: 10,
        name: name.into(),
        region: "r".into(),
        zone: "z".into(),
    }
}

fn make_node(name: &str, address: SocketAddr) -> Arc<EntryNode> {
    let pool = ConnectionPool::new();
    let ports = EntryPorts {
        clock: Arc::new(SystemClock),
        meter: Arc::new(NoMeter),
        peers: Arc::new(RpcPeers::new(Arc::clone(&pool))),
        platform: Arc::new(HttpPlatform::new(address, name, Arc::clone(&pool))),
        targets: Arc::new(HttpTargets::new(pool)),
        tracer: Arc::new(NoTracer),
    };
    let (_, state) = Vm::join();
    Arc::new(EntryNode::new(entry_vm(name, address), ports, state, Logger::root(Discard, o!())))
}

fn heartbeat_message(change: impl FnOnce(&mut Heartbeat)) -> PeerMessage {
    let mut heartbeat = make_node("other", "127.0.0.1:9".parse().unwrap()).heartbeat();
    change(&mut heartbeat);
    PeerMessage::Heartbeat(heartbeat)
}

fn room(free: u32, slots: u32) -> BTreeMap<PoolKey, PoolRoom> {
    BTreeMap::from([(PoolKey::new("s", "z"), PoolRoom { free, queued: 0, slots })])
}

fn describe(reply: Result<PeerReply, PeerError>) -> String {
    match reply {
        Ok(PeerReply::Heartbeat(heartbeat)) => format!("heartbeat from: {}", heartbeat.vm.name),
        Ok(PeerReply::Exchange(exchange)) => format!("exchange from: {}", exchange.from),
        Ok(other) => format!("{other:?}"),
        Err(PeerError::Invalid(_)) => "invalid".to_owned(),
        Err(PeerError::NoReply) => "no reply".to_owned(),
        Err(PeerError::Refused(reason)) => format!("refused: {reason}"),
        Err(PeerError::Unreachable(_)) => "unreachable".to_owned(),
    }
}

fn exchange(from: &str, incarnation: u64) -> PeerMessage {
    let from = VmName::from(from);
    PeerMessage::Exchange(Exchange { from, incarnation, ..Exchange::default() })
}

#[tokio::test]
async fn rejects_invalid_messages() {
    let address = free_address();
    let node = make_node("served", address);
    let _server = serve_peers(Arc::clone(&node), address).await.unwrap();
    let peers = RpcPeers::new(ConnectionPool::new());
    let cases: Vec<(&str, PeerMessage)> = vec![
        ("before a heartbeat", exchange("other", 10)),
        ("a heartbeat", heartbeat_message(|_| {})),
        ("an exchange", exchange("other", 10)),
        ("an older exchange", exchange("other", 9)),
        ("a newer exchange", exchange("other", 11)),
        ("an older incarnation", heartbeat_message(|h| h.vm.incarnation = 9)),
        ("no incarnation", heartbeat_message(|h| h.vm.incarnation = 0)),
        ("another fleet", heartbeat_message(|h| h.vm.fleet = "else".into())),
        ("an empty name", heartbeat_message(|h| h.vm.name = "".into())),
        ("an empty zone", heartbeat_message(|h| h.vm.zone = "".into())),
        ("a long name", heartbeat_message(|h| h.vm.name = "n".repeat(254).as_str().into())),
        ("its own name", heartbeat_message(|h| h.vm.name = "served".into())),
        ("no host", heartbeat_message(|h| h.vm.addresses.peers = "0.0.0.0:80".parse().unwrap())),
        ("no port", heartbeat_message(|h| h.vm.addresses.callers = "10.0.0.1:0".parse().unwrap())),
        ("room above slots", heartbeat_message(|h| h.room = room(4, 3))),
        ("room", heartbeat_message(|h| h.room = room(3, 3))),
    ];
    let mut table = String::new();
    for (name, message) in cases {
        writeln!(table, "{name:<24} {}", describe(peers.call(address, message).await)).unwrap();
    }
    let usage = peers.usage().part(ControlPart::Heartbeats);
    assert!(usage.sent > 0 && usage.received > 0);
    assert!(node.control_usage(ControlPart::Heartbeats).received > 0);
    insta::assert_snapshot!(table);
}

/// Starts a server that violates the protocol on each connection.
async fn serve_faulty(response: &'static [u8], hang: bool) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 1024];
            drop(stream.read(&mut buffer).await);
            drop(stream.write_all(response).await);
            if hang {
                tokio::time::sleep(Duration::from_secs(30)).await;
            }
        }
    });
    address
}

#[tokio::test]
async fn failing_peers_yield_clear_errors() {
    let peers = Arc::new(RpcPeers::new(ConnectionPool::new()));
    let mut table = String::new();
    let cases = [
        ("no listener", free_address()),
        ("closes without reply", serve_faulty(b"", false).await),
        ("garbage", serve_faulty(b"\x00\xffgarbage\r\n\r\n", false).await),
        ("not a WebSocket", serve_faulty(b"HTTP/1.1 200 OK\r\n\r\nhello", false).await),
        ("no response", serve_faulty(b"", true).await),
    ];
    for (name, address) in cases {
        writeln!(
            table,
            "{name:<20} {}",
            describe(peers.call(address, heartbeat_message(|_| {})).await)
        )
        .unwrap();
    }
    let address = free_address();
    let _server = serve_peers(make_node("served", address), address).await.unwrap();
    let calls = (0..200).map(|n| {
        let (peers, name) = (Arc::clone(&peers), format!("vm-{n}"));
        async move {
            let message = heartbeat_message(|h| h.vm.name = name.as_str().into());
            let introduction = describe(peers.call(address, message).await);
            (introduction, describe(peers.call(address, exchange(&name, 10)).await))
        }
    });
    let mut outcomes: BTreeMap<(String, String), u32> = BTreeMap::new();
    for outcome in futures_util::future::join_all(calls).await {
        *outcomes.entry(outcome).or_default() += 1;
    }
    writeln!(table, "200 concurrent calls: {outcomes:?}").unwrap();
    insta::assert_snapshot!(table);
}

/// Generates a message that is malformed in one of several ways.
fn malformed(g: &mut Gen) -> Vec<u8> {
    let valid =
        r#"{"jsonrpc":"2.0","id":1,"method":"x","params":[{"c":[0,0,0],"d":1,"i":1,"n":"a"}]}"#;
    let mut bytes = valid.as_bytes().to_vec();
    match u8::arbitrary(g) % 5 {
        0 => bytes.truncate(usize::arbitrary(g) % bytes.len()),
        1 => {
            for _ in 0..4 {
                let at = usize::arbitrary(g) % bytes.len();
                bytes[at] = u8::arbitrary(g);
            }
        }
        2 => bytes = Vec::arbitrary(g),
        3 => bytes = vec![b'['; 1 + usize::arbitrary(g) % 5000],
        _ => {
            let method = ["x", "heartbeat", "settings", "none"][usize::arbitrary(g) % 4];
            let params = ["[]", "[null]", "[{}]", "[[[]]]", "{\"a\":1}", "[1e999]", "\"\""];
            let params = params[usize::arbitrary(g) % params.len()];
            let text =
                format!(r#"{{"jsonrpc":"2.0","id":1,"method":"{method}","params":{params}}}"#);
            bytes = text.into_bytes();
        }
    }
    bytes
}

#[tokio::test]
async fn malformed_messages_are_rejected_and_the_server_keeps_running() {
    let address = free_address();
    let node = make_node("served", address);
    let _server = serve_peers(Arc::clone(&node), address).await.unwrap();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 0..MALFORMED_MESSAGES {
        let body = malformed(&mut Gen::from_size_and_seed(64, seed));
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&body).await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response);
        let code =
            response.split("\"code\":").nth(1).and_then(|rest| rest.split([',', '}']).next());
        let accepted = response.contains("\"result\"");
        let kind = code.unwrap_or(if accepted { "accepted" } else { "no response" });
        *counts.entry(kind.to_owned()).or_default() += 1;
    }
    assert!(node.peers().is_empty(), "no malformed message adds a peer");
    let peers = RpcPeers::new(ConnectionPool::new());
    let reply = describe(peers.call(address, heartbeat_message(|_| {})).await);
    insta::assert_snapshot!(format!(
        "by error code: {counts:#?}\nvalid message afterwards: {reply}"
    ));
}
