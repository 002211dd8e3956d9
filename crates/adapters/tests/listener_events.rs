//! Events that a listener reports about its callers' connections.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{Listener, ListenerControl, ListenerEvent, ListenerLimits};
use futures_util::stream::iter;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::{body::Bytes, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{BodyError, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time after which a test gives up; no result depends on it.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A listener with what it reports.
struct Observed {
    address: SocketAddr,
    control: ListenerControl,
    events: Arc<Mutex<Vec<ListenerEvent>>>,
    started: Arc<AtomicUsize>,
}

/// Starts a listener that never answers on the path `/silent`.
async fn serve() -> Observed {
    let (control, events) = (ListenerControl::new(), Arc::new(Mutex::new(Vec::new())));
    let (seen, started) = (Arc::clone(&events), Arc::new(AtomicUsize::new(0)));
    let any = "127.0.0.1:0".parse().unwrap();
    let bound = Listener::bind(any, ListenerLimits::default()).await.unwrap();
    let listener = bound.with_control(&control).with_early_start(Arc::new(|_| true));
    let listener = listener.with_observer(Arc::new(move |event: &ListenerEvent| {
        seen.lock().unwrap().push(event.clone());
    }));
    let address = listener.address().unwrap();
    let count = Arc::clone(&started);
    tokio::spawn(listener.serve(move |request, _| {
        count.fetch_add(1, Ordering::SeqCst);
        async move {
            match request.uri().path() {
                "/breaks" => {
                    let frame = Err(BodyError { reason: "reset".to_owned() });
                    Response::new(StreamBody::new(iter([frame])).boxed_unsync())
                }
                "/silent" => pending().await,
                _ => Response::new(full_body("whole")),
            }
        }
    }));
    Observed { address, control, events, started }
}

async fn wait_until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(MAX_WAIT, wait).await.unwrap();
}

impl Observed {
    /// Waits until a number of requests have been started.
    async fn wait_started(&self, count: usize) {
        wait_until(|| self.started.load(Ordering::SeqCst) == count).await;
    }

    /// Waits until all connections have ended, and describes the events.
    async fn events(&self) -> Vec<String> {
        wait_until(|| self.control.connections() == 0).await;
        let describe = |event: &ListenerEvent| match event {
            ListenerEvent::Ended(end) => format!("{} unanswered, {}", end.unanswered, end.cause),
            ListenerEvent::Lost(lost) => format!("lost {:?}", lost.id),
            ListenerEvent::Replaced(replaced) => replaced.refusal.detail.clone(),
        };
        self.events.lock().unwrap().iter().map(describe).collect()
    }
}

#[tokio::test]
async fn an_end_by_the_caller_is_reported_without_an_error() {
    for count in 1..=2 {
        let observed = serve().await;
        let mut stream = TcpStream::connect(observed.address).await.unwrap();
        let requests = "GET /silent HTTP/1.1\r\nhost: a\r\n\r\n".repeat(count);
        stream.write_all(requests.as_bytes()).await.unwrap();
        observed.wait_started(count).await;
        drop(stream);
        assert_eq!(observed.events().await, [format!("{count} unanswered, caller")]);
    }
}

#[tokio::test]
async fn an_end_by_a_response_that_breaks_off_is_reported_with_its_error() {
    let observed = serve().await;
    let mut stream = TcpStream::connect(observed.address).await.unwrap();
    stream.write_all(b"GET /breaks HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    stream.read_to_end(&mut Vec::new()).await.unwrap();
    let error = "error from user's Body stream: the body broke off: reset";
    assert_eq!(observed.events().await, [format!("0 unanswered, error: {error}")]);
}

#[tokio::test]
async fn a_cancelled_http2_stream_is_not_unanswered_when_its_connection_ends() {
    let observed = serve().await;
    let stream = TcpStream::connect(observed.address).await.unwrap();
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    let driver = tokio::spawn(connection);
    let get =
        |path: &str| Request::get(format!("http://a{path}")).body(Empty::<Bytes>::new()).unwrap();
    let cancelled = tokio::spawn(sender.send_request(get("/silent")));
    observed.wait_started(1).await;
    cancelled.abort();
    assert!(cancelled.await.unwrap_err().is_cancelled());
    let response = sender.send_request(get("/")).await.unwrap();
    response.into_body().collect().await.unwrap();
    drop(sender);
    driver.await.unwrap().unwrap();
    assert_eq!(observed.events().await, [""; 0]);
}
