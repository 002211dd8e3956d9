//! Callers that break the protocol, or send bytes without end.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerLimits};
use futures_util::future::join_all;
use http::Response;
use http_body_util::BodyExt;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{BodyFault, BodyLimits, bound_body, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Timeout for the head of a request, and for its body.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Time after the timeout within which the connection is closed.
const SLACK: Duration = Duration::from_secs(4);
/// Maximum number of bytes taken from a caller that sends no request: the limit of a head and the
/// capacity of the socket buffers.
const MAX_TAKEN: usize = 24 << 20;
/// Size of a packet of the fast callers.
const PACKET: usize = 16 << 10;
/// Pause between two packets of the slow callers.
const SLOW_PAUSE: Duration = Duration::from_millis(20);

/// Starts a listener whose handler reads the body within the timeout. Requests under `/slow` take
/// some time.
async fn serve() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let limits = ListenerLimits { head_timeout: TIMEOUT, ..ListenerLimits::default() };
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), limits).await.unwrap();
    let listener = listener.with_early_start(Arc::new(|_| true));
    let address = listener.address().unwrap();
    let paths = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&paths);
    tokio::spawn(listener.serve(move |request, _| {
        let seen = Arc::clone(&seen);
        async move {
            let path = request.uri().path().to_owned();
            seen.lock().unwrap().push(path.clone());
            let limits = BodyLimits::with_deadline(Instant::now() + TIMEOUT);
            let body = bound_body(request.into_body(), limits, BodyFault::default());
            let status = if body.collect().await.is_ok() { 200 } else { 400 };
            if path.starts_with("/slow") {
                sleep(TIMEOUT / 2).await;
            }
            Response::builder().status(status).body(full_body(path)).unwrap()
        }
    }));
    (address, paths)
}

/// A frame of HTTP/2 on stream 1.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let stream = u8::from(kind != SETTINGS);
    let mut bytes = length[1..].to_vec();
    bytes.extend([kind, 0, 0, 0, 0, stream]);
    bytes.extend(payload);
    bytes
}

const CONTINUATION: u8 = 9;
const HEADERS: u8 = 1;
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const SETTINGS: u8 = 4;

/// Header block of HTTP/2 with one header that isn't indexed.
fn header_block(value: usize) -> Vec<u8> {
    let mut block = vec![0, 1, b'x', 127];
    // The rest of the length, as an integer with a prefix of seven bits.
    let mut rest = value - 127;
    while rest >= 128 {
        block.push((rest % 128) as u8 | 128);
        rest /= 128;
    }
    block.push(rest as u8);
    block.extend(vec![b'a'; value]);
    block
}

/// Name, bytes sent once, and bytes sent again and again.
fn cases() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let chunked = "POST /chunks HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = |rest: &str| format!("{chunked}{rest}").into_bytes();
    let http2 = [PREFACE, &frame(SETTINGS, &[])].concat();
    vec![
        ("nothing", vec![], vec![]),
        ("half a preface", PREFACE[..12].to_vec(), vec![]),
        ("a preface", http2.clone(), vec![]),
        ("settings", http2.clone(), frame(SETTINGS, &[])),
        (
            "continuations",
            [http2.clone(), frame(HEADERS, &header_block(200))].concat(),
            frame(CONTINUATION, &header_block(8000)),
        ),
        (
            "empty continuations",
            [http2, frame(HEADERS, &header_block(200))].concat(),
            frame(CONTINUATION, &[]),
        ),
        ("blank lines", vec![], b"\r\n".to_vec()),
        ("request line", b"GET /".to_vec(), b"a".to_vec()),
        ("header line", b"GET / HTTP/1.1\r\nx: ".to_vec(), b"a".to_vec()),
        ("headers", b"GET / HTTP/1.1\r\n".to_vec(), b"a: b\r\n".to_vec()),
        ("chunk size", chunks(""), b"0".to_vec()),
        ("spaces behind a chunk size", chunks("5"), b" ".to_vec()),
        ("chunk extension", chunks("5;"), b"a".to_vec()),
        ("chunks", chunks(""), b"5\r\nwhole\r\n".to_vec()),
        ("trailers", chunks("0\r\n"), b"a: b\r\n".to_vec()),
        ("trailer line", chunks("0\r\nx: "), b"a".to_vec()),
    ]
}

async fn describe_case(name: &str, first: &[u8], repeated: &[u8], slow: bool) -> String {
    let (address, _) = serve().await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let packet = match slow || repeated.is_empty() {
        true => repeated.to_vec(),
        false => repeated.repeat((PACKET / repeated.len()).max(1)),
    };
    let first = first.to_vec();
    let writing = tokio::spawn(async move {
        let mut taken = 0;
        let _closed = writer.write_all(&first).await;
        while !packet.is_empty() && writer.write_all(&packet).await.is_ok() {
            taken += packet.len();
            if slow {
                sleep(SLOW_PAUSE).await;
            }
        }
        // Keeps the sending side open until the listener closes the connection.
        (taken, writer)
    });
    let mut received = Vec::new();
    let end = timeout(TIMEOUT + SLACK, reader.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received);
    let status = text.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
    let http2 = if received.starts_with(&[0, 0]) { "HTTP/2 frames" } else { "no response" };
    let ended = if end.is_ok() { "closed" } else { "still open" };
    drop(reader);
    if let Ok(Ok((taken, _writer))) = timeout(SLACK, writing).await {
        assert!(taken < MAX_TAKEN, "{name}: {taken} bytes taken");
    }
    let speed = if slow { "slow" } else { "fast" };
    format!("{name}, {speed}: {}, {ended}\n", status.unwrap_or(http2))
}

/// A caller that sends no whole request can't keep its connection, nor make the listener buffer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_request_loses_its_connection() {
    let cases = cases();
    let mut lines = Vec::new();
    for (name, first, repeated) in &cases {
        lines.push(describe_case(name, first, repeated, false).await);
    }
    let slow =
        cases.iter().map(|(name, first, repeated)| describe_case(name, first, repeated, true));
    lines.extend(join_all(slow).await);
    insta::assert_snapshot!(lines.concat());
}

/// A request inside the body of another one must not be started early.
#[tokio::test]
async fn a_request_with_conflicting_lengths_starts_nothing() {
    let inner = "GET /inner HTTP/1.1\r\nhost: a\r\n\r\n";
    let cases = [
        ("two lengths", format!("content-length: 0\r\ncontent-length: {}\r\n", inner.len())),
        ("list of lengths", format!("content-length: 0, {}\r\n", inner.len())),
        ("signed length", "content-length: +0\r\n".to_owned()),
        ("length and chunks", "content-length: 0\r\ntransfer-encoding: chunked\r\n".to_owned()),
        ("folded length", format!("content-length: 0\r\n {}\r\n", inner.len())),
        ("space before a colon", format!("content-length : {}\r\n", inner.len())),
        ("bare CR", format!("x: a\rcontent-length: {}\r\n", inner.len())),
        ("same length twice", "content-length: 0\r\ncontent-length: 0\r\n".to_owned()),
        ("one length", "content-length: 0\r\n".to_owned()),
    ];
    let mut table = String::new();
    for (name, headers) in cases {
        let (address, paths) = serve().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let requests = format!(
            "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n\
             GET /outer HTTP/1.1\r\nhost: a\r\n{headers}\r\n{inner}"
        );
        stream.write_all(requests.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        let _open = timeout(TIMEOUT, stream.read_to_end(&mut received)).await;
        let text = String::from_utf8_lossy(&received);
        let statuses: Vec<&str> =
            text.split("HTTP/1.1 ").skip(1).filter_map(|rest| rest.get(..3)).collect();
        table += &format!("{name}: {statuses:?}, started {:?}\n", paths.lock().unwrap());
    }
    insta::assert_snapshot!(table);
}
