//! Requests that must not be started early, as their connection ends before their turn.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerLimits};
use bytes::Bytes;
use futures_util::future::join_all;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use std::{
    fmt::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{Body, BodyError, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
    time::{sleep, timeout},
};

const PROCESSING_TIME: Duration = Duration::from_millis(200);
/// Time after which a test gives up; no result depends on it.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Number of connections that together pipeline more requests than may be started early.
const CONNECTIONS: usize = 30;
/// Number of requests on each of these connections.
const PIPELINED: usize = 16;
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A body that breaks off after some time.
fn breaking_body() -> Body {
    let frames = futures_util::stream::unfold(0, |step| async move {
        match step {
            0 => Some((Ok(Frame::data(Bytes::from_static(b"who"))), 1)),
            1 => {
                sleep(2 * PROCESSING_TIME).await;
                Some((Err(BodyError { reason: "reset".to_owned() }), 2))
            }
            _ => None,
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Serves requests by their path, and records the paths that were started.
async fn serve() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let listener = bound.with_early_start(Arc::new(|_| true));
    let address = listener.address().unwrap();
    let started = Arc::new(Mutex::new(Vec::new()));
    let paths = Arc::clone(&started);
    tokio::spawn(listener.serve(move |request, _| {
        let path = request.uri().path().to_owned();
        paths.lock().unwrap().push(path.clone());
        async move {
            if path == "/stream" {
                return Response::new(breaking_body());
            }
            sleep(PROCESSING_TIME).await;
            Response::new(full_body(path))
        }
    }));
    (address, started)
}

/// Sends the requests, the second part after the first response has begun, and lists the started
/// requests and the status of each response.
async fn exchange(first: &str, second: &str) -> String {
    let (address, started) = serve().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(first.as_bytes()).await.unwrap();
    sleep(PROCESSING_TIME / 2).await;
    stream.write_all(second.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let end = timeout(READ_TIMEOUT, stream.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received);
    let statuses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).map(|text| &text[..3]).collect();
    let end = if end.is_ok() { "closed" } else { "open" };
    format!("started {}, answered {}, {end}", started.lock().unwrap().join(" "), statuses.join(" "))
}

fn get(path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n{more}\r\n")
}

/// Guards against requests that run although, or more often than, the HTTP parser accepts them.
#[tokio::test]
async fn a_read_with_an_ambiguous_length_is_not_started_early() {
    let post = "POST /post HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nwhole";
    let cases = [
        ("two lengths", get("/a", ""), "content-length: 0\r\ncontent-length: 5\r\n"),
        ("equal lengths", get("/a", ""), "content-length: 0\r\ncontent-length: 0\r\n"),
        ("signed length", get("/a", ""), "content-length: +0\r\n"),
        ("plain length", get("/a", ""), "content-length: 0\r\n"),
        ("behind a small body that isn't read", post.to_owned(), ""),
    ];
    let mut table = String::new();
    for (name, first, more) in cases {
        writeln!(table, "{name}: {}", exchange(&first, &get("/b", more)).await).unwrap();
    }
    insta::assert_snapshot!(table);
}

async fn wait_until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(MAX_WAIT, wait).await.unwrap();
}

/// Every received byte polls the connection's task.
#[tokio::test]
async fn the_filter_is_asked_once_about_a_request_that_it_rejects() {
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let listener = bound.with_early_start(Arc::new(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        false
    }));
    let address = listener.address().unwrap();
    let all_sent = Arc::new(Semaphore::new(0));
    let permits = Arc::clone(&all_sent);
    tokio::spawn(listener.serve(move |request, _| {
        let permits = Arc::clone(&permits);
        async move {
            permits.acquire().await.unwrap().forget();
            Response::new(full_body(request.uri().path().to_owned()))
        }
    }));
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all((get("/a", "") + &get("/b", "")).as_bytes()).await.unwrap();
    for byte in get("/c", "").bytes() {
        stream.write_all(&[byte]).await.unwrap();
        sleep(Duration::from_millis(1)).await;
    }
    wait_until(|| asked.load(Ordering::SeqCst) >= 2).await;
    all_sent.add_permits(3);
    let mut received = String::new();
    while !received.ends_with("/c") {
        let mut bytes = [0; 1024];
        let length = stream.read(&mut bytes).await.unwrap();
        received.push_str(std::str::from_utf8(&bytes[..length]).unwrap());
    }
    assert_eq!(asked.load(Ordering::SeqCst), 2, "about /b and /c");
}

/// Guards against memory for waiting responses that grows with the number of connections.
#[tokio::test]
async fn all_connections_share_a_limit_on_requests_that_are_started_early() {
    let requests = PIPELINED * CONNECTIONS;
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let (asked, started) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let count = Arc::clone(&asked);
    let listener = bound.with_early_start(Arc::new(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        true
    }));
    let address = listener.address().unwrap();
    let all_asked = Arc::new(Semaphore::new(0));
    let (permits, count) = (Arc::clone(&all_asked), Arc::clone(&started));
    tokio::spawn(listener.serve(move |_, _| {
        count.fetch_add(1, Ordering::SeqCst);
        let permits = Arc::clone(&permits);
        async move {
            permits.acquire().await.unwrap().forget();
            Response::new(full_body("whole"))
        }
    }));
    let callers = join_all((0..CONNECTIONS).map(|_| async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(get("/", "").repeat(PIPELINED).as_bytes()).await.unwrap();
        stream
    }))
    .await;
    wait_until(|| asked.load(Ordering::SeqCst) == requests - CONNECTIONS).await;
    assert_eq!(started.load(Ordering::SeqCst), CONNECTIONS + 256, "32 MiB of 2 x 64 KiB each");
    all_asked.add_permits(requests);
    for mut caller in callers {
        let mut received = Vec::new();
        while String::from_utf8_lossy(&received).matches("whole").count() < PIPELINED {
            assert!(caller.read_buf(&mut received).await.unwrap() > 0);
        }
    }
    assert_eq!(started.load(Ordering::SeqCst), requests);
}

/// Guards against reads that are lost with a response whose head was written before they came.
#[tokio::test]
async fn a_read_behind_a_response_that_is_being_streamed_is_not_lost() {
    let result = exchange(&get("/stream", ""), &get("/b", "")).await;
    assert_eq!(result, "started /stream, answered 200, closed");
}
