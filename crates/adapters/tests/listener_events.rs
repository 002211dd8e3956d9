//! Events that a listener reports about its callers' connections.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerEvent, ListenerLimits};
use http::{Request, Response};
use http_body_util::{BodyExt, Empty};
use hyper::{body::Bytes, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::full_body;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

const PROCESSING_TIME: Duration = Duration::from_millis(100);

/// Starts a listener with a slow path, and keeps what it reports.
async fn serve() -> (SocketAddr, Arc<Mutex<Vec<ListenerEvent>>>) {
    let events = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&events);
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let listener = bound.with_early_start(Arc::new(|_| true));
    let listener = listener.with_observer(Arc::new(move |event: &ListenerEvent| {
        seen.lock().unwrap().push(event.clone());
    }));
    let address = listener.address().unwrap();
    tokio::spawn(listener.serve(|request, _| async move {
        let slow = request.uri().path() == "/slow";
        sleep(if slow { 20 * PROCESSING_TIME } else { PROCESSING_TIME }).await;
        Response::new(full_body("whole"))
    }));
    (address, events)
}

/// Describes the reported ends of connections.
fn ends(events: &Mutex<Vec<ListenerEvent>>) -> Vec<String> {
    let describe = |event: &ListenerEvent| match event {
        ListenerEvent::Ended(end) => format!("{} unanswered, {:?}", end.unanswered, end.error),
        ListenerEvent::Lost(lost) => format!("lost {:?}", lost.id),
        ListenerEvent::Replaced(replaced) => replaced.refusal.detail.clone(),
    };
    events.lock().unwrap().iter().map(describe).collect()
}

#[tokio::test]
async fn an_end_by_the_caller_is_reported_without_an_error() {
    for count in 1..=2 {
        let (address, events) = serve().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let requests = "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n".repeat(count);
        stream.write_all(requests.as_bytes()).await.unwrap();
        sleep(PROCESSING_TIME).await;
        drop(stream);
        sleep(PROCESSING_TIME).await;
        assert_eq!(ends(&events), [format!("{count} unanswered, None")]);
    }
}

#[tokio::test]
async fn a_cancelled_http2_stream_is_not_unanswered_when_its_connection_ends() {
    let (address, events) = serve().await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    let driver = tokio::spawn(connection);
    let get =
        |path: &str| Request::get(format!("http://a{path}")).body(Empty::<Bytes>::new()).unwrap();
    let cancelled = tokio::spawn(sender.send_request(get("/slow")));
    sleep(PROCESSING_TIME).await;
    cancelled.abort();
    let response = sender.send_request(get("/")).await.unwrap();
    response.into_body().collect().await.unwrap();
    drop(sender);
    driver.await.unwrap().unwrap();
    sleep(PROCESSING_TIME).await;
    assert_eq!(ends(&events), [""; 0]);
}
