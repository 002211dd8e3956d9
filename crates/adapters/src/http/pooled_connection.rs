//! Client connection that carries one request at a time.

use super::read_limit::{LimitedStream, ReadProgress};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{Builder, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use steer::Body;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Largest number of headers of a response.
const MAX_HEADERS: usize = 100;
/// Largest size in bytes of the head of a response, and of the parser's buffer.
const MAX_HEAD: usize = 64 << 10;

/// Id by which the response to a request is recognized; an extension of the request. A connection
/// isn't reused for a request with the same id as the one before, or without an id, because a second
/// copy of an earlier response could not be told from the response to the new request.
///
/// ```
/// let mut request = http::Request::new(());
/// let id = http::HeaderValue::from_static("7");
/// request.extensions_mut().insert(adapters::ExchangeId::new(Some(id)));
/// assert!(request.extensions().get::<adapters::ExchangeId>().is_some());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeId(Option<HeaderValue>);

impl ExchangeId {
    /// Creates an id from the value of the header that servers echo; `None` if it is missing.
    pub fn new(value: Option<HeaderValue>) -> Self {
        Self(value)
    }

    /// Returns whether the response can be recognized.
    pub(super) fn is_known(&self) -> bool {
        self.0.is_some()
    }
}

/// A connection with the task that drives it. Dropping it closes the socket at once, even if the
/// server sends nothing or doesn't stop sending.
#[derive(Debug)]
pub(super) struct PooledConnection {
    /// Id of the latest request.
    latest: Option<ExchangeId>,
    progress: ReadProgress,
    sender: SendRequest<Body>,
    /// Returns the status of another response that began behind the last one.
    task: AbortOnDropHandle<Option<StatusCode>>,
}

/// State of a connection after the end of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResponseEnd {
    /// The connection is closed.
    Closed,
    /// Another response, with this status, began behind it.
    Followed(StatusCode),
    /// The connection can carry a request.
    Idle,
}

impl PooledConnection {
    /// Starts HTTP/1.1 on a connected stream.
    pub(super) async fn open(stream: TcpStream) -> hyper::Result<Self> {
        let progress = ReadProgress::default();
        let stream = LimitedStream::new(stream, progress.clone());
        let (sender, mut connection) = Builder::new()
            .max_buf_size(MAX_HEAD)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(stream))
            .await?;
        // The pending request receives any error, so the result isn't needed.
        let task = tokio::spawn(async move {
            let _ended = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            parse_status(&connection.into_parts().read_buf)
        });
        Ok(Self { latest: None, progress, sender, task: AbortOnDropHandle::new(task) })
    }

    /// Sends a request and waits for the head of its response.
    pub(super) async fn send(
        &mut self,
        request: Request<Body>,
        id: Option<ExchangeId>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        self.latest = id;
        self.progress.reset();
        let response = self.sender.try_send_request(request).await;
        self.progress.reset();
        response
    }

    /// Waits until the connection can carry a request; returns `false` if it has closed.
    pub(super) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Waits until the connection is idle or closed after a response that was read to its end.
    pub(super) async fn response_end(&mut self) -> ResponseEnd {
        if self.ready().await {
            return ResponseEnd::Idle;
        }
        match (&mut self.task).await {
            Ok(Some(status)) => ResponseEnd::Followed(status),
            Ok(None) | Err(_) => ResponseEnd::Closed,
        }
    }

    /// Returns whether a request with this id may be sent.
    pub(super) fn may_carry(&self, id: Option<&ExchangeId>) -> bool {
        id.is_none() || self.latest.as_ref() != id
    }

    /// Records that a part of the response's body has been taken.
    pub(super) fn record_progress(&self) {
        self.progress.reset();
    }

    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Returns the status of a response that begins with these bytes.
fn parse_status(bytes: &[u8]) -> Option<StatusCode> {
    const VERSION: usize = "HTTP/1.1 ".len();
    let is_response = bytes.starts_with(b"HTTP/");
    StatusCode::from_bytes(bytes.get(VERSION..VERSION + 3)?).ok().filter(|_| is_response)
}
