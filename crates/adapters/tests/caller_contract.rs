//! Tests how listeners treat valid and malformed requests, with raw sockets and hyper's client.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerLimits, to_body};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use quickcheck::{Arbitrary, Gen};
use std::{fmt::Write, net::SocketAddr, time::Duration};
use steer::{Body, empty_body, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Number of malformed requests.
const MALFORMED_REQUESTS: u64 = 2_000;
/// Timeout for a connection to end; only a connection that hangs reaches it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

async fn echo(request: Request<Body>) -> Response<Body> {
    let (head, body) = request.into_parts();
    match body.collect().await {
        Ok(body) => {
            let host = head.headers.get("host").and_then(|h| h.to_str().ok()).unwrap_or("-");
            let length = body.to_bytes().len();
            Response::new(full_body(format!("{} {} {host} {length}", head.method, head.uri)))
        }
        Err(_) => Response::new(empty_body()),
    }
}

async fn start(limits: ListenerLimits) -> SocketAddr {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), limits).await.unwrap();
    let address = listener.address().unwrap();
    tokio::spawn(listener.serve(|request, _| echo(request)));
    address
}

/// Sends bytes, closes the sending side and returns the first line of the response.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close the connection before it has read all bytes.
    let _sent = stream.write_all(bytes).await;
    let _closed = stream.shutdown().await;
    let mut response = Vec::new();
    let read = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    let response = String::from_utf8_lossy(&response);
    match (response.lines().next(), read) {
        (Some(line), _) => line.to_owned(),
        (None, Ok(_)) => "closed".into(),
        (None, Err(_)) => "hangs".into(),
    }
}

#[tokio::test]
async fn responds_to_valid_and_malformed_requests() {
    let address = start(ListenerLimits::default()).await;
    let many = (0..150).fold(String::new(), |all, n| format!("{all}x-{n}: 1\r\n"));
    let long = "a".repeat(64 << 10);
    let post = "POST / HTTP/1.1\r\nhost: a\r\n";
    let chunked = "transfer-encoding: chunked\r\n";
    let cases = [
        ("a request", "GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_owned()),
        ("a body with content-length", format!("{post}content-length: 4\r\n\r\nfour")),
        ("a chunked body", format!("{post}{chunked}\r\n4\r\nfour\r\n0\r\n\r\n")),
        (
            "length and chunks together",
            format!("{post}content-length: 4\r\n{chunked}\r\n0\r\n\r\n"),
        ),
        (
            "two content-length headers",
            format!("{post}content-length: 4\r\ncontent-length: 5\r\n\r\nfour!"),
        ),
        ("a negative length", format!("{post}content-length: -4\r\n\r\n")),
        ("too many headers", format!("GET / HTTP/1.1\r\n{many}\r\n")),
        ("a head that is too long", format!("GET /{long} HTTP/1.1\r\nhost: a\r\n\r\n")),
        ("an incomplete head", "GET / HTTP/1.1\r\nho".into()),
        ("a line feed in a name", "GET / HTTP/1.1\r\nho\nst: a\r\n\r\n".into()),
        ("a null in a value", "GET / HTTP/1.1\r\nhost: a\0b\r\n\r\n".into()),
        ("not HTTP", "EHLO mail.example\r\n\r\n".into()),
        ("no bytes", String::new()),
    ];
    let mut table = String::new();
    for (name, bytes) in cases {
        writeln!(table, "{name:<28} {}", exchange(address, bytes.as_bytes()).await).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Mutates a valid request. The listener must respond to each or close the connection, and must
/// still serve a valid request afterwards.
#[tokio::test]
async fn survives_thousands_of_malformed_requests() {
    let address = start(ListenerLimits::default()).await;
    let good = b"POST /a?b HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\nx-a: b\r\n\r\nfour";
    for seed in 0..MALFORMED_REQUESTS {
        let mut g = Gen::from_size_and_seed(10, seed);
        let mut bytes = good.to_vec();
        for _ in 0..=u8::arbitrary(&mut g) % 4 {
            let at = usize::arbitrary(&mut g) % bytes.len();
            match u8::arbitrary(&mut g) % 3 {
                0 => bytes[at] = u8::arbitrary(&mut g),
                1 => bytes.insert(at, u8::arbitrary(&mut g)),
                _ => bytes.truncate(at.max(1)),
            }
        }
        let line = exchange(address, &bytes).await;
        assert!(line == "closed" || line.starts_with("HTTP/1."), "seed {seed}: {line}");
    }
    let line = exchange(address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert_eq!(line, "HTTP/1.1 200 OK");
}

#[tokio::test]
async fn closes_a_connection_whose_request_head_times_out() {
    let limits = ListenerLimits { head_timeout: Duration::from_millis(50), ..Default::default() };
    let address = start(limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a").await.unwrap();
    let mut response = Vec::new();
    let closed = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(closed.is_ok(), "the connection stays open");
}

#[tokio::test]
async fn serves_http2() {
    let address = start(ListenerLimits::default()).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut responses = String::new();
    for path in ["/one", "/two"] {
        let uri = format!("http://briefs.example{path}");
        let request = Request::post(uri).body(full_body("four")).unwrap();
        let response = sender.send_request(request).await.unwrap().map(to_body);
        let body = response.into_body().collect().await.unwrap().to_bytes();
        writeln!(responses, "{}", String::from_utf8_lossy(&body)).unwrap();
    }
    insta::assert_snapshot!(responses);
}
