//! Graceful shutdown of a listener, over loopback sockets.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerControl, ListenerLimits};
use http::Response;
use http_body_util::BodyExt;
use std::{net::SocketAddr, time::Duration};
use steer::full_body;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc::{self, UnboundedReceiver},
};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a listener; the channel receives an item for each request whose head has arrived.
async fn listen(control: &ListenerControl) -> (SocketAddr, UnboundedReceiver<()>) {
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let listener = bound.with_control(control);
    let address = listener.address().unwrap();
    let (notify, heads) = mpsc::unbounded_channel();
    tokio::spawn(listener.serve(move |request, _| {
        notify.send(()).unwrap();
        async move {
            let size = request.into_body().collect().await.unwrap().to_bytes().len();
            Response::new(full_body(format!("took {size}")))
        }
    }));
    (address, heads)
}

#[tokio::test]
async fn closing_finishes_an_upload_and_ends_idle_connections() {
    let control = ListenerControl::new();
    let (address, mut heads) = listen(&control).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    heads.recv().await.unwrap();
    let mut upload = TcpStream::connect(address).await.unwrap();
    upload.write_all(b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\nhalf").await.unwrap();
    heads.recv().await.unwrap();

    let closing = tokio::spawn({
        let control = control.clone();
        async move { control.close(CLOSE_TIMEOUT).await }
    });
    let mut first = String::new();
    idle.read_to_string(&mut first).await.unwrap();
    assert!(first.ends_with("took 0"), "{first}");
    assert!(!closing.is_finished(), "the upload is still in progress");
    upload.write_all(b"half").await.unwrap();
    let mut response = String::new();
    upload.read_to_string(&mut response).await.unwrap();
    assert!(response.ends_with("took 8"), "{response}");
    assert!(closing.await.unwrap(), "all connections have closed");
}
