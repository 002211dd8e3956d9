//! What a caller sees of a response whose body fails after its head was written.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerLimits};
use bytes::Bytes;
use futures_util::{
    future::join_all,
    stream::{StreamExt, iter, pending},
};
use http::{HeaderValue, Request, Response, header::CONTENT_LENGTH};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::{
    fmt::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{BodyFault, BodyLimits, bound_body, empty_body, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time after which the body of `/cut` fails.
const BODY_TIME: Duration = Duration::from_millis(100);

/// Serves `/cut`, whose body fails after its first bytes, `/cut-length`, which also has a length,
/// `/panic`, and whole responses, of which `/late` comes after the others. Counts the requests. As on the path of `ragwortswitch entry`, no request
/// starts early.
async fn serve() -> (SocketAddr, Arc<AtomicUsize>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let address = listener.address().unwrap();
    let counter = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&counter);
    tokio::spawn(listener.serve(move |request, _| {
        count.fetch_add(1, Ordering::SeqCst);
        async move {
            let path = request.uri().path();
            assert_ne!(path, "/panic");
            if path == "/late" {
                sleep(2 * BODY_TIME).await;
            }
            if path == "/whole" || path == "/late" {
                return Response::new(full_body("whole"));
            }
            let first = iter([Ok(Frame::data(Bytes::from_static(b"who")))]);
            let body = StreamBody::new(first.chain(pending())).boxed_unsync();
            let limits = BodyLimits::with_deadline(Instant::now() + BODY_TIME);
            let mut response = Response::new(bound_body(body, limits, BodyFault::default()));
            if path == "/cut-length" {
                response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from_static("5"));
            }
            response
        }
    }));
    (address, counter)
}

/// Sends a request, with another behind it, and describes the first response.
async fn exchange(path: &str, version: &str, keep: &str) -> String {
    let (address, count) = serve().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let get = |path: &str| format!("GET {path} {version}\r\nhost: a.example\r\n{keep}\r\n");
    stream.write_all((get(path) + &get("/whole")).as_bytes()).await.unwrap();
    let (mut text, mut bytes) = (String::new(), [0; 1024]);
    let end = loop {
        match timeout(20 * BODY_TIME, stream.read(&mut bytes)).await.unwrap() {
            Ok(0) => break "closed",
            Ok(length) => text.push_str(std::str::from_utf8(&bytes[..length]).unwrap()),
            Err(_) => break "reset",
        }
    };
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let framing = match head.to_ascii_lowercase() {
        head if head.contains("chunked") => "chunked",
        head if head.contains("content-length") => "length",
        _ => "until the end",
    };
    let whole = match framing {
        "chunked" => body.contains("\r\n0\r\n\r\n"),
        "length" => body.len() >= 5,
        _ => end == "closed",
    };
    let whole = if whole { "looks whole" } else { "is visibly cut" };
    let calls = count.load(Ordering::SeqCst);
    format!("{framing}, {end}, {whole}, {calls} requests passed on")
}

async fn table(cases: &[(&str, &str, &str)]) -> String {
    let mut table = String::new();
    for (path, version, keep) in cases {
        let seen = exchange(path, version, keep).await;
        writeln!(table, "{path} {version}: {seen}").unwrap();
    }
    table
}

#[tokio::test]
async fn a_cut_body_never_looks_whole_and_takes_no_other_along() {
    insta::assert_snapshot!(
        table(&[("/cut", "HTTP/1.1", ""), ("/cut-length", "HTTP/1.1", "")]).await
    );
}

#[tokio::test]
async fn a_cut_body_never_looks_whole_to_an_old_client() {
    let keep = "connection: keep-alive\r\n";
    let cases =
        [("/cut", "HTTP/1.0", ""), ("/cut", "HTTP/1.0", keep), ("/cut-length", "HTTP/1.0", keep)];
    let table = table(&cases).await;
    assert!(!table.contains("looks whole"), "{table}");
}

#[tokio::test]
async fn a_failed_stream_of_http2_takes_no_other_along() {
    let (address, _) = serve().await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let responses = ["/cut", "/cut-length", "/panic", "/whole", "/late"].map(|path| {
        let mut sender = sender.clone();
        async move {
            let request = Request::get(format!("http://a.example{path}")).body(empty_body());
            let response = sender.send_request(request.unwrap()).await.unwrap();
            let status = response.status().as_u16();
            let whole = response.into_body().collect().await.is_ok();
            format!("{path}: {status}{}\n", if whole { "" } else { " cut" })
        }
    });
    insta::assert_snapshot!(join_all(responses).await.concat(), @"
    /cut: 200 cut
    /cut-length: 200 cut
    /panic: 502
    /whole: 200
    /late: 200
    ");
}
