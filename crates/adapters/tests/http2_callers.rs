//! What an HTTP/2 caller sees of a response that breaks off, and what a target sees of a caller that
//! leaves.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, HttpTargets, Listener, ListenerLimits, to_response};
use bytes::Bytes;
use http::{Request, Response, Version};
use http_body_util::{BodyExt, Empty};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::{fmt::Write, net::SocketAddr, sync::Arc, time::Duration};
use steer::{ErrorKind, Refusal, Targets};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{sleep, timeout},
};

/// Time before a target resets its connection, so that the bytes before are read.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Time within which a target sees that its caller has left.
const SLACK: Duration = Duration::from_millis(700);

/// Starts a target that writes these bytes, and then ends the connection, or keeps writing `again`
/// until it is closed.
async fn start_target(bytes: &'static str, end: End, closed: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _head = stream.read(&mut [0; 4096]).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        match end {
            End::Fin => {}
            End::Rst => {
                sleep(RESET_DELAY).await;
                stream.set_zero_linger().unwrap();
            }
            End::Again(again) => {
                while stream.write_all(again.as_bytes()).await.is_ok() {
                    sleep(RESET_DELAY / 10).await;
                }
                closed.notify_one();
            }
            End::Silence => {
                let _closed = stream.read(&mut [0; 8]).await;
                closed.notify_one();
            }
        }
    });
    address
}

/// What a target does after its first bytes.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Writes these bytes again and again.
    Again(&'static str),
    /// Ends the connection.
    Fin,
    /// Resets the connection.
    Rst,
    /// Waits for the end of the connection.
    Silence,
}

/// Connects a caller to a listener that sends its requests to this target.
async fn connect(target: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let address = listener.address().unwrap();
    let targets = Arc::new(HttpTargets::new(ConnectionPool::new()));
    tokio::spawn(listener.serve(move |request, _| {
        let targets = Arc::clone(&targets);
        async move {
            let failed = |_| to_response(&Refusal::from(ErrorKind::TargetFailed));
            targets.send(target, request).await.unwrap_or_else(failed)
        }
    }));
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

async fn call(sender: &mut SendRequest<Empty<Bytes>>) -> Response<Incoming> {
    let request = Request::get("http://a.example/x").version(Version::HTTP_2);
    sender.send_request(request.body(Empty::new()).unwrap()).await.unwrap()
}

/// A response that breaks off resets its stream.
#[tokio::test]
async fn no_cut_response_looks_complete_over_http2() {
    let cases = [
        ("length", "content-length: 4\r\n\r\nfour", End::Fin),
        ("length, cut", "content-length: 9\r\n\r\nfour", End::Fin),
        ("length, reset", "content-length: 9\r\n\r\nfour", End::Rst),
        ("list of lengths", "content-length: 4, 4\r\n\r\nfour", End::Fin),
        ("chunks", "transfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", End::Fin),
        ("chunks, cut", "transfer-encoding: chunked\r\n\r\n4\r\nfour\r\n", End::Fin),
        ("chunks, reset", "transfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n", End::Rst),
        ("trailers", "transfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nx: a\r\n\r\n", End::Fin),
        ("trailers, cut", "transfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nx: a\r\n", End::Fin),
        ("no length", "\r\nfour", End::Fin),
        ("no length, reset", "\r\nfour", End::Rst),
        ("head, cut", "x: ", End::Fin),
    ];
    let mut table = String::new();
    for (name, rest, end) in cases {
        let bytes = format!("HTTP/1.1 200 OK\r\n{rest}").leak();
        let target = start_target(bytes, end, Arc::default()).await;
        let response = call(&mut connect(target).await).await;
        let status = response.status();
        let body = match response.into_body().collect().await {
            Ok(body) => format!("{} bytes", body.to_bytes().len()),
            Err(_) => "cut".to_owned(),
        };
        let body = if status == 200 { body } else { String::new() };
        writeln!(table, "{name}: {} {body}", status.as_u16()).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// A target is told at once that the caller of its response has left: its stream is cancelled, or
/// its connection ends.
#[tokio::test]
async fn the_target_of_a_caller_that_left_is_told() {
    let cases = [
        ("body without end", "content-length: 900000\r\n\r\nfour", End::Again("four")),
        ("chunks without end", "transfer-encoding: chunked\r\n\r\n", End::Again("4\r\nfour\r\n")),
        ("chunk size without end", "transfer-encoding: chunked\r\n\r\n", End::Again("0")),
        ("interim responses", "", End::Again("HTTP/1.1 103 Early\r\n\r\n")),
        ("silent body", "content-length: 9\r\n\r\nfour", End::Silence),
        ("silent head", "x: a", End::Silence),
    ];
    for (name, rest, end) in cases {
        for cancel in [false, true] {
            let first = if rest.is_empty() { "" } else { "HTTP/1.1 200 OK\r\n" };
            let closed = Arc::new(Notify::new());
            let bytes = format!("{first}{rest}").leak();
            let target = start_target(bytes, end, Arc::clone(&closed)).await;
            let mut sender = connect(target).await;
            let response = timeout(RESET_DELAY, call(&mut sender)).await;
            if !cancel {
                drop(sender);
            }
            drop(response);
            let told = timeout(SLACK, closed.notified()).await;
            assert!(told.is_ok(), "{name}, stream cancelled: {cancel}");
        }
    }
}
