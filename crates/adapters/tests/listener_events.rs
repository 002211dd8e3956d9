//! Events that a listener reports about its callers' connections.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerEvent, ListenerLimits};
use http::{Request, Response};
use http_body_util::{BodyExt, Empty};
use hyper::{body::Bytes, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::full_body;
use tokio::{net::TcpStream, time::sleep};

const PROCESSING_TIME: Duration = Duration::from_millis(100);

#[tokio::test]
async fn a_cancelled_http2_stream_is_not_unanswered_when_its_connection_ends() {
    let events = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&events);
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let listener = bound.with_observer(Arc::new(move |event: &ListenerEvent| {
        seen.lock().unwrap().push(format!("{event:?}"));
    }));
    let address = listener.address().unwrap();
    tokio::spawn(listener.serve(|request, _| async move {
        let slow = request.uri().path() == "/slow";
        sleep(if slow { 20 * PROCESSING_TIME } else { PROCESSING_TIME }).await;
        Response::new(full_body("whole"))
    }));
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
    assert_eq!(*events.lock().unwrap(), [""; 0]);
}
