//! Peers that send bytes without end, to the client and to the servers of messages.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, HttpPlatform, HttpTargets, RpcPeers, serve_peers};
use futures_util::future::join_all;
use slog::{Discard, Logger, o};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{
    EntryNode, EntryPorts, EntryVm, Exchange, NoMeter, NoTracer, PeerError, PeerMessage, Peers,
    SystemClock, Vm, VmAddresses,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::timeout,
};

/// Time after which a call or a connection counts as endless; connecting and a reply may take 1 s each.
const CALL_LIMIT: Duration = Duration::from_secs(20);
/// Time within which the connection of a failed call is closed.
const SLACK: Duration = Duration::from_secs(2);
/// Size of a packet.
const PACKET: usize = 16 << 10;
/// Maximum number of bytes taken as part of one message: its limit of 10 MiB, and the capacity of
/// the socket buffers.
const MAX_TAKEN: usize = 34 << 20;

/// Name, whether the handshake is completed first, bytes sent once, and bytes sent again and again.
fn cases() -> Vec<(&'static str, bool, Vec<u8>, Vec<u8>)> {
    let text = |payload: &str| [&[0x81, payload.len() as u8], payload.as_bytes()].concat();
    let long = |opcode: u8, length: u64| [&[opcode, 127][..], &length.to_be_bytes()].concat();
    vec![
        ("no response", false, vec![], b"a".to_vec()),
        ("status line", false, b"HTTP/1.1 101 ".to_vec(), b"a".to_vec()),
        ("header line", false, b"HTTP/1.1 101 Switching\r\nx: ".to_vec(), b"a".to_vec()),
        ("headers", false, b"HTTP/1.1 101 Switching\r\n".to_vec(), b"a: b\r\n".to_vec()),
        ("interim responses", false, vec![], b"HTTP/1.1 103 Early\r\n\r\n".to_vec()),
        ("huge frame", true, long(0x81, 1 << 40), b"a".to_vec()),
        ("large frame", true, long(0x81, 9 << 20), vec![]),
        ("fragments", true, vec![0x01, 1, b'a'], vec![0x00, 1, b'a']),
        ("empty fragments", true, vec![0x01, 0], vec![0x00, 0]),
        ("pings", true, vec![], vec![0x89, 0]),
        ("reserved opcode", true, vec![], vec![0x83, 0]),
        ("notifications", true, vec![], text(r#"{"jsonrpc":"2.0","method":"x","params":[]}"#)),
        ("foreign replies", true, vec![], text(r#"{"jsonrpc":"2.0","id":77,"result":1}"#)),
        ("silence", true, vec![], vec![]),
    ]
}

fn make_node(address: SocketAddr) -> Arc<EntryNode> {
    let pool = ConnectionPool::new();
    let ports = EntryPorts {
        clock: Arc::new(SystemClock),
        meter: Arc::new(NoMeter),
        peers: Arc::new(RpcPeers::new(Arc::clone(&pool))),
        platform: Arc::new(HttpPlatform::new(address, "vm", Arc::clone(&pool))),
        targets: Arc::new(HttpTargets::new(pool)),
        tracer: Arc::new(NoTracer),
    };
    let vm = EntryVm {
        addresses: VmAddresses {
            callers: address,
            handoff: address,
            operators: address,
            peers: address,
        },
        fleet: "test".into(),
        incarnation: 10,
        name: "served".into(),
        region: "r".into(),
        zone: "z".into(),
    };
    Arc::new(EntryNode::new(vm, ports, Vm::join().1, Logger::root(Discard, o!())))
}

/// Reads a head.
async fn read_head(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    head
}

/// Starts a peer that misbehaves, after the handshake of the true server if `handshake` is set.
async fn start_peer(
    server: SocketAddr,
    (handshake, first, repeated): (bool, Vec<u8>, Vec<u8>),
    taken: Arc<AtomicUsize>,
    closed: Arc<Notify>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = read_head(&mut stream).await;
        if handshake {
            let mut server = TcpStream::connect(server).await.unwrap();
            server.write_all(&request).await.unwrap();
            let response = read_head(&mut server).await;
            stream.write_all(&response).await.unwrap();
        }
        let (mut reader, mut writer) = stream.into_split();
        let _sent = writer.write_all(&first).await;
        let discard = tokio::spawn(async move {
            let mut buffer = vec![0; PACKET];
            while matches!(reader.read(&mut buffer).await, Ok(1..)) {}
        });
        if repeated.is_empty() {
            discard.await.unwrap();
        } else {
            let packet = repeated.repeat(PACKET / repeated.len());
            while writer.write_all(&packet).await.is_ok() {
                taken.fetch_add(packet.len(), Ordering::Relaxed);
            }
        }
        closed.notify_one();
    });
    address
}

async fn describe_case(
    server: SocketAddr,
    (name, handshake, first, repeated): (&str, bool, Vec<u8>, Vec<u8>),
) -> String {
    let (taken, closed) = (Arc::new(AtomicUsize::new(0)), Arc::new(Notify::new()));
    let is_message = !["notifications", "foreign replies", "pings"].contains(&name);
    let case = (handshake, first, repeated);
    let peer = start_peer(server, case, Arc::clone(&taken), Arc::clone(&closed)).await;
    let peers = RpcPeers::new(ConnectionPool::new());
    let message = PeerMessage::Exchange(Exchange { from: "other".into(), ..Exchange::default() });
    let result = match timeout(CALL_LIMIT, peers.call(peer, message)).await {
        Err(_) => "hangs",
        Ok(Err(PeerError::NoReply)) => "no reply",
        Ok(Err(PeerError::Unreachable(_))) => "unreachable",
        Ok(Err(_)) => "another error",
        Ok(Ok(_)) => "a reply",
    };
    let ended = match timeout(SLACK, closed.notified()).await {
        Ok(()) => "closed",
        Err(_) => "still open",
    };
    let taken = taken.load(Ordering::Relaxed);
    assert!(!is_message || taken < MAX_TAKEN, "{name}: {taken} bytes taken");
    format!("{name}: {result}, {ended}\n")
}

/// A call to such a peer fails in time, and its connection is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_that_sends_without_end_loses_its_connection() {
    let address = SocketAddr::from(([127, 0, 5, 1], 0));
    let address = TcpListener::bind(address).await.unwrap().local_addr().unwrap();
    let _server = serve_peers(make_node(address), address).await.unwrap();
    let mut lines = Vec::new();
    for case in cases() {
        lines.push(describe_case(address, case).await);
    }
    insta::assert_snapshot!(lines.concat());
}

/// A server of messages must not buffer what isn't a message.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_sends_without_end_loses_its_connection() {
    let address = SocketAddr::from(([127, 0, 5, 2], 0));
    let address = TcpListener::bind(address).await.unwrap().local_addr().unwrap();
    let _server = serve_peers(make_node(address), address).await.unwrap();
    let post = |rest: &str| format!("POST / HTTP/1.1\r\nhost: x\r\n{rest}").into_bytes();
    let json = "content-type: application/json\r\n";
    let handshake = "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
                     sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    let frame = |first: &[u8]| [handshake.as_bytes(), first].concat();
    let huge = [&[0x81, 0xff][..], &(1_u64 << 40).to_be_bytes(), &[0; 4]].concat();
    let cases = [
        ("request line", b"GET /".to_vec(), b"a".to_vec()),
        ("header line", post("x: "), b"a".to_vec()),
        ("headers", post(""), b"a: b\r\n".to_vec()),
        ("body", post(&format!("{json}content-length: 99999999999\r\n\r\n")), b" ".to_vec()),
        (
            "chunks",
            post(&format!("{json}transfer-encoding: chunked\r\n\r\n")),
            b"5\r\n     \r\n".to_vec(),
        ),
        ("huge frame", frame(&huge), b"a".to_vec()),
        (
            "fragments",
            frame(&[0x01, 0x80, 0, 0, 0, 0]),
            [&[0, 0xe4, 0, 0, 0, 0][..], &[b'a'; 100]].concat(),
        ),
    ];
    let lines = cases.map(|(name, first, repeated)| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&first).await.unwrap();
        let (mut reader, mut writer) = stream.into_split();
        let discard = tokio::spawn(async move {
            let mut buffer = vec![0; PACKET];
            while matches!(reader.read(&mut buffer).await, Ok(1..)) {}
        });
        let packet = repeated.repeat(PACKET / repeated.len());
        let mut taken = 0;
        let write = async {
            while writer.write_all(&packet).await.is_ok() {
                taken += packet.len();
            }
        };
        let ended = timeout(CALL_LIMIT, write).await.is_ok();
        discard.abort();
        assert!(taken < MAX_TAKEN, "{name}: {taken} bytes taken");
        format!("{name}: {}\n", if ended { "closed" } else { "still open" })
    });
    insta::assert_snapshot!(join_all(lines).await.concat());
}
