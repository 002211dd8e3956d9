//! Requests that are started early on a connection that closes behind an earlier response.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerControl, ListenerLimits};
use bytes::Bytes;
use futures_util::{future::join_all, stream::iter};
use http::{
    HeaderValue, Response, StatusCode, Version,
    header::{CONNECTION, CONTENT_LENGTH},
};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use std::{
    fmt::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{Body, empty_body, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const PROCESSING_TIME: Duration = Duration::from_millis(200);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Size in bytes of a body that hyper reads in several steps.
const BODY_SIZE: usize = 40_000;
/// Limits on the heads of requests, the smallest that hyper accepts.
const LIMITS: ListenerLimits = ListenerLimits {
    connections: 100,
    head_timeout: Duration::from_secs(10),
    max_head: 8 << 10,
    max_headers: 8,
    write_timeout: READ_TIMEOUT,
};

/// Number of frames of a streamed body.
const FRAMES: usize = 4;
/// Size of a frame in bytes. All of them together are more than is read while others wait.
const FRAME_SIZE: usize = 32 << 10;

/// Body of unknown length.
fn streamed_body() -> Body {
    let frame = || Ok(Frame::data(Bytes::from_static(&[b'w'; FRAME_SIZE])));
    StreamBody::new(iter([(); FRAMES].map(|()| frame()))).boxed_unsync()
}

/// Builds the response that a path asks for.
fn respond(path: &str) -> Response<Body> {
    let mut response = Response::new(full_body(path.to_owned()));
    match path {
        "/last" => {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        "/not-modified" => {
            *response.status_mut() = StatusCode::NOT_MODIFIED;
            response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from_static("5"));
            *response.body_mut() = empty_body();
        }
        "/no-content" => *response.status_mut() = StatusCode::NO_CONTENT,
        "/old" => *response.version_mut() = Version::HTTP_10,
        "/old-stream" => {
            *response.version_mut() = Version::HTTP_10;
            *response.body_mut() = streamed_body();
        }
        "/repeated-length" => {
            let length = FRAMES * FRAME_SIZE;
            let value = HeaderValue::try_from(format!("{length}, {length}")).unwrap();
            response.headers_mut().insert(CONTENT_LENGTH, value);
            *response.body_mut() = streamed_body();
        }
        _ => {}
    }
    response
}

/// Serves requests by their path, and counts those that were started.
async fn serve(control: &ListenerControl) -> (SocketAddr, Arc<AtomicUsize>) {
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, LIMITS).await.unwrap();
    let listener = bound.with_control(control).with_early_start(Arc::new(|_| true));
    let address = listener.address().unwrap();
    let started = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&started);
    tokio::spawn(listener.serve(move |request, _| {
        count.fetch_add(1, Ordering::SeqCst);
        async move {
            let path = request.uri().path().to_owned();
            if path != "/unread" {
                request.into_body().collect().await.unwrap();
            }
            sleep(PROCESSING_TIME).await;
            respond(&path)
        }
    }));
    (address, started)
}

/// Sends the requests at once, and describes the responses and the end of the connection.
async fn exchange(requests: &str, closes: bool) -> String {
    let control = ListenerControl::new();
    let (address, started) = serve(&control).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(requests.as_bytes()).await.unwrap();
    if closes {
        sleep(PROCESSING_TIME / 2).await;
        tokio::spawn(async move { control.close(READ_TIMEOUT).await });
    }
    let mut received = Vec::new();
    let end = timeout(READ_TIMEOUT, stream.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received);
    let responses: Vec<&str> =
        text.split("HTTP/1.1 ").skip(1).filter_map(|text| text.rsplit("\r\n").next()).collect();
    let end = if end.is_ok() { "closed" } else { "open" };
    format!("{} started, {}, {end}", started.load(Ordering::SeqCst), responses.join(" "))
}

#[tokio::test]
async fn a_request_started_early_is_answered_before_its_connection_closes() {
    let body = "b".repeat(BODY_SIZE);
    let post = |path| {
        format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_SIZE}\r\n\r\n{body}")
    };
    let small_post = "POST /unread HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nfour".to_owned();
    let close = "GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned();
    let cases = [
        ("closes by its response", get("/last") + &get("/b") + &get("/c"), false),
        ("each response closes", get("/last") + &get("/last"), false),
        ("closes by the request", close + &get("/b"), false),
        ("closes by the listener", get("/a") + &get("/b") + &get("/c"), true),
        ("behind a body that is read", post("/read") + &get("/b"), false),
        ("behind a body that isn't read", post("/unread") + &get("/b"), false),
        ("behind a small body that isn't read", small_post + &get("/b") + &get("/c"), false),
    ];
    let mut table = String::new();
    for (name, requests, closes) in cases {
        writeln!(table, "{name}: {}", exchange(&requests, closes).await).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Describes the status lines of the responses to three requests, the first and the last of which are
/// reads.
async fn exchange_between(request: &str) -> String {
    let control = ListenerControl::new();
    let (address, started) = serve(&control).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all((get("/a") + request + &get("/c")).as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let end = timeout(READ_TIMEOUT, stream.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received);
    let lines = text.match_indices("HTTP/1.").map(|(start, _)| &text[start..][..12]);
    let statuses = lines.collect::<Vec<_>>().join(", ");
    let end = if end.is_ok() { "closed" } else { "open" };
    format!("{} started, {statuses}, {end}", started.load(Ordering::SeqCst))
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Requests that hyper rejects, and responses behind which it could close the connection.
#[tokio::test]
async fn a_request_is_started_only_if_its_connection_lasts_until_its_response() {
    let with_headers = |headers: &str| format!("GET /b HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    let cases = [
        ("too many headers", with_headers(&"x: 1\r\n".repeat(20))),
        ("long head", with_headers(&format!("x: {}\r\n", "x".repeat(20 << 10)))),
        ("unfinished head", "GET /b HTT".to_owned()),
        ("CONNECT", "CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n".to_owned()),
        ("HEAD", "HEAD /b HTTP/1.1\r\nhost: a\r\n\r\n".to_owned()),
        ("HTTP/1.0", "GET /b HTTP/1.0\r\nhost: a\r\n\r\n".to_owned()),
        ("HTTP/1.0 kept", "GET /b HTTP/1.0\r\nconnection: keep-alive\r\n\r\n".to_owned()),
        ("204 with a body", get("/no-content")),
        ("304 with a length", get("/not-modified")),
        ("response of HTTP/1.0", get("/old")),
        ("streamed response of HTTP/1.0", get("/old-stream")),
        ("repeated length", get("/repeated-length")),
    ];
    let lines = cases.map(|(name, request)| async move {
        format!("{name}: {}\n", exchange_between(&request).await)
    });
    insta::assert_snapshot!(join_all(lines).await.concat(), @"
    too many headers: 1 started, HTTP/1.1 200, HTTP/1.1 431, closed
    long head: 1 started, HTTP/1.1 200, HTTP/1.1 431, closed
    unfinished head: 1 started, HTTP/1.1 200, HTTP/1.1 400, closed
    CONNECT: 2 started, HTTP/1.1 200, HTTP/1.1 200, closed
    HEAD: 3 started, HTTP/1.1 200, HTTP/1.1 200, HTTP/1.1 200, open
    HTTP/1.0: 2 started, HTTP/1.1 200, HTTP/1.0 200, closed
    HTTP/1.0 kept: 3 started, HTTP/1.1 200, HTTP/1.0 200, HTTP/1.1 200, open
    204 with a body: 3 started, HTTP/1.1 200, HTTP/1.1 204, HTTP/1.1 200, open
    304 with a length: 3 started, HTTP/1.1 200, HTTP/1.1 304, HTTP/1.1 200, open
    response of HTTP/1.0: 3 started, HTTP/1.1 200, HTTP/1.1 200, HTTP/1.1 200, open
    streamed response of HTTP/1.0: 3 started, HTTP/1.1 200, HTTP/1.1 200, HTTP/1.1 200, open
    repeated length: 3 started, HTTP/1.1 200, HTTP/1.1 200, HTTP/1.1 200, open
    ");
}
