//! Requests that are started early on a connection that closes behind an earlier response.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerControl, ListenerLimits};
use http::{HeaderValue, Response, header::CONNECTION};
use http_body_util::BodyExt;
use std::{
    fmt::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::full_body;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const PROCESSING_TIME: Duration = Duration::from_millis(200);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Size in bytes of a body that hyper reads in several steps.
const BODY_SIZE: usize = 40_000;

/// Serves requests by their path, and counts those that were started.
async fn serve(control: &ListenerControl) -> (SocketAddr, Arc<AtomicUsize>) {
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
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
            let mut response = Response::new(full_body(path.clone()));
            if path == "/last" {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
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
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    let body = "b".repeat(BODY_SIZE);
    let post = |path| {
        format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_SIZE}\r\n\r\n{body}")
    };
    let close = "GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned();
    let cases = [
        ("closes by its response", get("/last") + &get("/b") + &get("/c"), false),
        ("each response closes", get("/last") + &get("/last"), false),
        ("closes by the request", close + &get("/b"), false),
        ("closes by the listener", get("/a") + &get("/b") + &get("/c"), true),
        ("behind a body that is read", post("/read") + &get("/b"), false),
        ("behind a body that isn't read", post("/unread") + &get("/b"), false),
    ];
    let mut table = String::new();
    for (name, requests, closes) in cases {
        writeln!(table, "{name}: {}", exchange(&requests, closes).await).unwrap();
    }
    insta::assert_snapshot!(table);
}
