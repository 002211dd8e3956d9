//! When a request is cancelled whose caller has left, wherever the request waits.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerLimits};
use bytes::Bytes;
use futures_util::future::{join_all, pending};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{Body, empty_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time between the last byte of a request and the end of its caller.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time within which a caller's end must be seen.
const LIMIT: Duration = Duration::from_millis(500);
const SIZES: [usize; 6] = [0, 1_000, 64 << 10, 65 << 10, 160_000, 900_000];
/// Bytes of a body that a handler reads before it waits, if it reads any.
const PART: usize = 20_000;

/// How a caller leaves.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// Requests that are being processed, and those that were cancelled, by path.
#[derive(Clone, Debug, Default)]
struct Requests {
    began: Arc<Mutex<BTreeSet<String>>>,
    cancelled: Arc<Mutex<BTreeMap<String, Instant>>>,
}

struct CancelGuard(String, Requests);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.1.cancelled.lock().unwrap().insert(self.0.clone(), Instant::now());
    }
}

impl Requests {
    /// Returns when a request was cancelled, if it was within the limit.
    async fn wait_cancelled(&self, path: &str, since: Instant) -> Option<Duration> {
        let cancelled = async {
            loop {
                if let Some(at) = self.cancelled.lock().unwrap().get(path) {
                    return at.saturating_duration_since(since);
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(2 * LIMIT, cancelled).await.ok().filter(|time| *time <= LIMIT)
    }

    async fn wait_begun(&self, path: &str) {
        while !self.began.lock().unwrap().contains(path) {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits without end, under `/part` after a part of the body, and under `/fast` not at all.
    async fn handle(self, request: Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let guard = CancelGuard(path.clone(), self.clone());
        self.began.lock().unwrap().insert(path.clone());
        let mut body = request.into_body();
        if path.starts_with("/part") {
            let mut left = PART;
            while left > 0
                && let Some(Ok(frame)) = body.frame().await
            {
                left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            }
        }
        if !path.starts_with("/fast") {
            pending::<()>().await;
        }
        drop((body, guard));
        Response::new(empty_body())
    }
}

async fn start() -> (SocketAddr, Requests) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let listener = listener.with_early_start(Arc::new(|_| true));
    let (callers, requests) = (listener.address().unwrap(), Requests::default());
    let handled = requests.clone();
    tokio::spawn(listener.serve(move |request, _| handled.clone().handle(request)));
    (callers, requests)
}

fn post(path: &str, size: usize, is_chunked: bool) -> Vec<u8> {
    let body = vec![b'x'; size];
    if !is_chunked {
        let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n");
        return [head.as_bytes(), &body].concat();
    }
    let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    let mut bytes = head.into_bytes();
    for chunk in body.chunks(10_000) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

fn describe(case: &str, time: Option<Duration>) -> String {
    format!("{case}: {}\n", if time.is_some() { "cancelled in time" } else { "goes on" })
}

/// Sends bytes, leaves, and tells whether the request with this path is cancelled in time.
async fn leave(path: &str, bytes: &[u8], end: End) -> Option<Duration> {
    let (callers, requests) = start().await;
    leave_listener((callers, &requests), path, bytes, end).await
}

async fn leave_listener(
    (callers, requests): (SocketAddr, &Requests),
    path: &str,
    bytes: &[u8],
    end: End,
) -> Option<Duration> {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    requests.wait_begun(path).await;
    sleep(PATIENCE).await;
    if matches!(end, End::Reset) {
        stream.set_zero_linger().unwrap();
    }
    drop(stream);
    requests.wait_cancelled(path, Instant::now()).await
}

// Guards against work for callers that have left: behind 64 KiB of unread bytes the end of a connection
// wasn't seen, and the request went on to its target seconds later.
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request_whatever_is_unread() {
    let mut cases = Vec::new();
    for path in ["/wait", "/part"] {
        for size in SIZES {
            for is_chunked in [false, true] {
                for end in [End::Close, End::Reset] {
                    cases.push(async move {
                        let framing = if is_chunked { "chunks" } else { "length" };
                        let case = format!("{path}, {size} bytes, {framing}, {end:?}");
                        describe(&case, leave(path, &post(path, size, is_chunked), end).await)
                    });
                }
            }
        }
    }
    insta::assert_snapshot!(join_all(cases).await.concat());
}

// Guards against the same in a pipeline: the unread bytes belong to requests behind the one that waits.
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_pipeline() {
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").into_bytes();
    let behind = [
        ("reads", get("/behind").repeat(3_000)),
        ("an upload", post("/upload", 900_000, false)),
        ("an upload in chunks", post("/upload", 900_000, true)),
    ];
    let mut cases = Vec::new();
    for (name, behind) in behind {
        for (before, bytes) in [("nothing", Vec::new()), ("a response", get("/fast"))] {
            let bytes = [bytes, get("/wait"), behind.clone()].concat();
            cases.push(async move {
                let case = format!("a read behind {before}, before {name}");
                describe(&case, leave("/wait", &bytes, End::Close).await)
            });
        }
    }
    insta::assert_snapshot!(join_all(cases).await.concat());
}

// Guards against a budget that is used up by callers that have left, or whose bodies were read.
#[tokio::test]
async fn what_was_read_ahead_is_given_back() {
    let (callers, requests) = start().await;
    for number in 0..8 {
        let path = format!("/wait-{number}");
        let bytes = post(&path, 900_000, false);
        let time = leave_listener((callers, &requests), &path, &bytes, End::Close).await;
        assert!(time.is_some(), "caller {number}");
    }
}

// Guards against ends that are seen neither by reading, once the budget is used up, nor without.
#[tokio::test]
async fn a_budget_that_others_have_used_up_hides_no_end() {
    let (callers, requests) = start().await;
    let mut holders = Vec::new();
    for number in 0..6 {
        holders.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(callers).await.unwrap();
            // Blocks if the budget ends before the body.
            stream.write_all(&post(&format!("/hold-{number}"), 1_000_000, false)).await.unwrap();
            pending::<()>().await;
        }));
    }
    sleep(PATIENCE).await;
    let leave = |size: usize| {
        let requests = &requests;
        async move {
            let path = format!("/wait-{size}");
            let bytes = post(&path, size, false);
            let time = leave_listener((callers, requests), &path, &bytes, End::Close).await;
            describe(&format!("{size} bytes"), time)
        }
    };
    let sizes = (54 << 10..90 << 10).step_by(1 << 10);
    let late = join_all(sizes.map(leave)).await;
    let late: String = late.into_iter().filter(|case| !case.ends_with("in time\n")).collect();
    holders.iter().for_each(tokio::task::JoinHandle::abort);
    assert_eq!(late, "");
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request_over_http2() {
    let mut table = String::new();
    for size in SIZES {
        for is_stream in [false, true] {
            let (callers, requests) = start().await;
            let stream = TokioIo::new(TcpStream::connect(callers).await.unwrap());
            let handshake = http2::handshake(TokioExecutor::new(), stream).await.unwrap();
            let (mut sender, connection) = handshake;
            let connection = tokio::spawn(connection);
            let body = Full::new(Bytes::from(vec![b'x'; size]));
            let request = Request::post("http://a.example/wait").body(body).unwrap();
            let response = tokio::spawn(sender.send_request(request));
            requests.wait_begun("/wait").await;
            sleep(PATIENCE).await;
            response.abort();
            if !is_stream {
                connection.abort();
            }
            let cancelled = requests.wait_cancelled("/wait", Instant::now()).await;
            let end = if is_stream { "its stream" } else { "its connection" };
            table += &describe(&format!("{size} bytes, {end}"), cancelled);
        }
    }
    insta::assert_snapshot!(table);
}

// A caller that stays is served, however much it has sent ahead.
#[tokio::test]
async fn a_caller_that_stays_is_served() {
    let (callers, _) = start().await;
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let get = "GET /fast HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(get.repeat(3_000).as_bytes()).await.unwrap();
    sleep(PATIENCE).await;
    let mut received = Vec::new();
    while received.windows(12).filter(|bytes| bytes == b"HTTP/1.1 200").count() < 3_000 {
        let read = timeout(LIMIT, stream.read_buf(&mut received)).await.unwrap().unwrap();
        assert!(read > 0);
    }
}
