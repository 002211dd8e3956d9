//! Reading ahead on connections of callers: pipelined requests and closed connections.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerControl, ListenerLimits, ListenerPhase};
use http::Response;
use http_body_util::BodyExt;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{BodyFault, BodyLimits, bound_body, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const PROCESSING_TIME: Duration = Duration::from_millis(150);

/// Number of started requests, number of completed requests, and peak concurrency.
#[derive(Debug, Default)]
struct Counts {
    started: AtomicUsize,
    completed: AtomicUsize,
    peak: AtomicUsize,
}

/// Serves slow requests; the response holds the path and the length of the request body.
async fn serve(early: bool) -> (SocketAddr, Arc<Counts>) {
    let listener =
        Listener::bind("127.0.0.1:0".parse().unwrap(), ListenerLimits::default()).await.unwrap();
    let listener = if early {
        listener.with_early_start(Arc::new(|head| head.uri().path() != "/alone"))
    } else {
        listener
    };
    let address = listener.address().unwrap();
    let counts = Arc::new(Counts::default());
    let seen = Arc::clone(&counts);
    tokio::spawn(listener.serve(move |request, _| {
        let counts = Arc::clone(&seen);
        async move {
            let started = counts.started.fetch_add(1, Ordering::SeqCst) + 1;
            counts
                .peak
                .fetch_max(started - counts.completed.load(Ordering::SeqCst), Ordering::SeqCst);
            let path = request.uri().path().to_owned();
            let body = request.into_body().collect().await.unwrap().to_bytes();
            sleep(if path == "/slow" { 4 * PROCESSING_TIME } else { PROCESSING_TIME }).await;
            counts.completed.fetch_add(1, Ordering::SeqCst);
            let body = full_body(format!("{path}:{}", body.len()));
            // Simulates a target that resets its connection some time after its response.
            let until = Instant::now() + PROCESSING_TIME;
            Response::new(bound_body(body, BodyLimits::with_deadline(until), BodyFault::default()))
        }
    }));
    (address, counts)
}

/// Sends bytes and returns the bodies of the responses in order.
async fn exchange(address: SocketAddr, request: &str, responses: usize) -> Vec<String> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    let mut bytes = [0; 4096];
    let read = async {
        while text.matches("HTTP/1.1 200").count() < responses
            || !text.ends_with(|c: char| c.is_ascii_digit())
        {
            let n = stream.read(&mut bytes).await.unwrap();
            assert!(n > 0, "the connection ended after {text:?}");
            text.push_str(std::str::from_utf8(&bytes[..n]).unwrap());
        }
    };
    timeout(Duration::from_secs(5), read).await.unwrap();
    text.split("\r\n\r\n")
        .skip(1)
        .map(|part| part.split("HTTP/").next().unwrap().to_owned())
        .collect()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n")
}

#[tokio::test]
async fn pipelined_reads_run_concurrently_and_respond_in_order() {
    let (address, counts) = serve(true).await;
    let requests: String = ["/1", "/2", "/3", "/4"].map(get).concat();
    assert_eq!(exchange(address, &requests, 4).await, ["/1:0", "/2:0", "/3:0", "/4:0"]);
    assert_eq!(counts.started.load(Ordering::SeqCst), 4, "each request ran once");
    assert_eq!(counts.peak.load(Ordering::SeqCst), 4);
}

#[tokio::test]
async fn requests_rejected_by_the_filter_do_not_start_early() {
    for (early, path) in [(false, "/1"), (true, "/alone")] {
        let (address, counts) = serve(early).await;
        exchange(address, &[path; 3].map(get).concat(), 3).await;
        assert_eq!(counts.peak.load(Ordering::SeqCst), 1, "{path}");
    }
}

#[tokio::test]
async fn an_answer_that_waits_behind_a_slow_one_is_read_at_once() {
    let (address, _) = serve(true).await;
    let text = "GET /slow HTTP/1.1\r\nhost: a\r\n\r\nGET /b HTTP/1.1\r\nhost: a\r\n\r\n";
    assert_eq!(exchange(address, text, 2).await, ["/slow:0", "/b:0"]);
}

#[tokio::test]
async fn bodies_between_pipelined_requests_stay_in_order() {
    let (address, counts) = serve(true).await;
    let post = "POST /post HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nGET /";
    let chunked = "POST /chunked HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n\
                   3\r\nabc\r\n0\r\n\r\n";
    let requests = [&get("/1"), post, &get("/2"), chunked, &get("/3")].concat();
    let responses = exchange(address, &requests, 5).await;
    assert_eq!(responses, ["/1:0", "/post:5", "/2:0", "/chunked:3", "/3:0"]);
    assert_eq!(counts.started.load(Ordering::SeqCst), 5);
}

#[tokio::test]
async fn a_fragmented_head_is_one_request() {
    let (address, counts) = serve(true).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    for piece in ["GET /1 HT", "TP/1.1\r\nHost: a.exam", "ple\r\n", "\r\n"] {
        stream.write_all(piece.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    let mut bytes = [0; 512];
    let n = timeout(Duration::from_secs(5), stream.read(&mut bytes)).await.unwrap().unwrap();
    assert!(std::str::from_utf8(&bytes[..n]).unwrap().starts_with("HTTP/1.1 200"));
    assert_eq!(counts.started.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_closed_connection_cancels_all_its_requests() {
    for requests in [get("/1"), ["/1", "/2", "/3"].map(get).concat()] {
        let (address, counts) = serve(true).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(requests.as_bytes()).await.unwrap();
        sleep(PROCESSING_TIME / 3).await;
        drop(stream);
        sleep(PROCESSING_TIME * 2).await;
        assert!(counts.started.load(Ordering::SeqCst) > 0);
        assert_eq!(counts.completed.load(Ordering::SeqCst), 0, "cancelled: {requests:?}");
    }
}

#[tokio::test]
async fn a_read_behind_a_rejected_length_is_not_started() {
    for length in ["+0", "0\r\nContent-Length: 1", "0x0"] {
        let (address, counts) = serve(true).await;
        let rejected = format!("GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all((get("/1") + &rejected + &get("/3")).as_bytes()).await.unwrap();
        let mut text = String::new();
        let read = stream.read_to_string(&mut text);
        timeout(Duration::from_secs(2), read).await.unwrap().unwrap();
        let answered = text.matches("HTTP/1.1 200").count();
        assert_eq!(counts.started.load(Ordering::SeqCst), answered, "{length:?}: {text}");
    }
}

/// Each way in which the response to `/1` could end the connection before the requests behind it.
#[tokio::test]
async fn a_read_behind_a_response_that_closes_the_connection_is_answered() {
    let close = "GET /close HTTP/1.1\r\nhost: a\r\n\r\n";
    let table = [
        ("a stopping VM", close.to_owned() + &get("/2") + &get("/3"), false, 3),
        ("closing phase", ["/1", "/2", "/3"].map(get).concat(), true, 3),
        ("partial head behind", ["/1", "/2"].map(get).concat() + "GET /3 HT", false, 2),
        ("malformed head behind", ["/1", "/2"].map(get).concat() + "\0\r\n\r\n", false, 2),
        ("panic", get("/panic") + &get("/2") + &get("/3"), false, 2),
    ];
    for (name, requests, closing, answered) in table {
        let control = ListenerControl::new();
        let limits =
            ListenerLimits { head_timeout: PROCESSING_TIME / 2, ..ListenerLimits::default() };
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), limits).await.unwrap();
        let address = listener.address().unwrap();
        let listener = listener.with_control(&control).with_early_start(Arc::new(|_| true));
        tokio::spawn(listener.serve(|request, _| async move {
            sleep(PROCESSING_TIME).await;
            let path = request.uri().path();
            assert_ne!(path, "/panic");
            let mut response = Response::new(full_body(path.to_owned()));
            if path == "/close" {
                response.headers_mut().insert("connection", "close".parse().unwrap());
            }
            response
        }));
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(requests.as_bytes()).await.unwrap();
        sleep(PROCESSING_TIME / 3).await;
        if closing {
            control.set(ListenerPhase::Closing);
        }
        let mut text = Vec::new();
        let read = timeout(Duration::from_secs(2), stream.read_to_end(&mut text)).await;
        let text = String::from_utf8_lossy(&text);
        assert_eq!(text.matches("HTTP/1.1 200").count(), answered, "{name}: {text}");
        let first = if name == "panic" {
            "HTTP/1.1 502 Bad Gateway\r\ncontent-type: application/problem+json\r\n\
             request-outcome: unknown\r\n"
        } else {
            "HTTP/1.1 200 OK\r\n"
        };
        assert!(text.starts_with(first), "{name}: {text}");
        let closes = name == "a stopping VM" || closing;
        assert!(!closes || read.is_ok(), "{name}: the connection is still open");
    }
}
