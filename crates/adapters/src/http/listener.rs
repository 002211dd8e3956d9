//! HTTP listener with one task per connection.

use super::{
    ConnectionEnd, EndObserver, ListenerControl, ListenerPhase,
    read_ahead_stream::{PipelinedRequest, ReadAhead, ReadAheadStream},
    to_body,
    write_timeout::WriteTimeout,
};
use http::{HeaderValue, Request, Response, StatusCode, Version, header::CONNECTION};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use std::{
    convert::Infallible,
    error::Error,
    fmt::{self, Debug, Formatter},
    future::poll_fn,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{Body, buffer_small_body, empty_body};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::Instant,
};
use tokio_util::task::AbortOnDropHandle;

/// Time for which the body of a response that waits for its turn may take to arrive; longer than any
/// deadline of a request.
const MAX_BODY_WAIT: Duration = Duration::from_secs(3600);

/// Returns whether a pipelined request may be started while an earlier one is being processed.
pub type EarlyStartFilter = Arc<dyn Fn(&Request<()>) -> bool + Send + Sync>;

/// Limits of a listener.
///
/// ```
/// use adapters::ListenerLimits;
/// assert_eq!(ListenerLimits::default().connections(100).connections, 100);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Timeout for reading the head of a request.
    pub head_timeout: Duration,
    /// Largest request head in bytes.
    pub max_head: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Timeout for a write of a response that makes no progress.
    pub write_timeout: Duration,
}

impl ListenerLimits {
    /// Sets the maximum number of concurrent connections.
    ///
    /// ```
    /// assert_eq!(adapters::ListenerLimits::default().connections(7).connections, 7);
    /// ```
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            head_timeout: Duration::from_secs(10),
            max_head: 32 << 10,
            max_headers: 100,
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// A bound listening socket with its limits.
pub struct Listener {
    control: ListenerControl,
    ends: Option<EndObserver>,
    early: Option<EarlyStartFilter>,
    limits: ListenerLimits,
    socket: TcpListener,
}

impl Debug for Listener {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener").field("socket", &self.socket).finish_non_exhaustive()
    }
}

impl Listener {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(address: SocketAddr, limits: ListenerLimits) -> io::Result<Self> {
        let control = ListenerControl::new();
        let socket = TcpListener::bind(address).await?;
        Ok(Self { control, early: None, ends: None, limits, socket })
    }

    /// Sets the control that drains and closes the connections. Several listeners may share it.
    pub fn with_control(mut self, control: &ListenerControl) -> Self {
        self.control = control.clone();
        self
    }

    /// Starts pipelined requests without a body early if the filter allows it. Responses are still
    /// written in the order of the requests.
    pub fn with_early_start(mut self, filter: EarlyStartFilter) -> Self {
        self.early = Some(filter);
        self
    }

    /// Reports connections that end with an error or with unanswered requests.
    pub fn with_end_observer(mut self, observer: EndObserver) -> Self {
        self.ends = Some(observer);
        self
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// If the operating system can't report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts HTTP/1.1 and HTTP/2 connections until the future is dropped, and passes each request
    /// to the handler.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            match self.socket.accept().await {
                Ok((stream, caller)) => {
                    let (handler, limits) = (handler.clone(), self.limits);
                    let (early, ends) = (self.early.clone(), self.ends.clone());
                    let phase = self.control.phase.subscribe();
                    self.control.tasks.spawn(async move {
                        let end =
                            serve_connection(stream, caller, handler, limits, phase, early).await;
                        if let Some((end, observer)) = end.zip(ends) {
                            observer(&end);
                        }
                        drop(permit);
                    });
                }
                // Out of file descriptors; wait until some are freed.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

/// Serves a connection until it ends. Returns its end if requests were left unanswered or it failed.
async fn serve_connection<H, F>(
    stream: TcpStream,
    caller: SocketAddr,
    handler: H,
    limits: ListenerLimits,
    mut phase: watch::Receiver<ListenerPhase>,
    early: Option<EarlyStartFilter>,
) -> Option<ConnectionEnd>
where
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let closing = *phase.borrow_and_update() == ListenerPhase::Closing;
    if closing || stream.set_nodelay(true).is_err() {
        return None;
    }
    let http2 = Arc::new(AtomicBool::new(false));
    let is_http2 = Arc::clone(&http2);
    let stream: ReadAheadStream<AbortOnDropHandle<Response<Body>>> =
        ReadAheadStream::new(WriteTimeout::new(stream, limits.write_timeout));
    // The connection closes behind the response to the last request that was started early.
    let closes = Arc::new(AtomicBool::new(false));
    let start = |head: &Request<()>| {
        let allowed = early.as_ref().is_some_and(|filter| filter(head));
        let allowed = allowed && !closes.load(Ordering::Relaxed);
        let request = head.clone().map(|()| empty_body());
        allowed.then(|| {
            let response = handler(request, caller);
            AbortOnDropHandle::new(tokio::spawn(async { read_waiting_body(response.await).await }))
        })
    };
    let (pipelined_stream, serve) = (stream.clone(), handler.clone());
    let busy = Arc::new(AtomicUsize::new(0));
    let in_progress = Arc::clone(&busy);
    let closing = Arc::clone(&closes);
    let service = service_fn(move |request: Request<Incoming>| {
        is_http2.store(request.version() == Version::HTTP_2, Ordering::Relaxed);
        let (pipelined, serve) = (pipelined_stream.pop_pipelined(), serve.clone());
        let (busy, closing) = (Arc::clone(&in_progress), Arc::clone(&closing));
        let waiting = pipelined_stream.clone();
        async move {
            busy.fetch_add(1, Ordering::Relaxed);
            let early = match pipelined {
                PipelinedRequest::Started(head, response) if is_same(&head, &request) => {
                    response.await.ok()
                }
                _ => None,
            };
            let mut response = match early {
                Some(response) => response,
                None => serve(request.map(to_body), caller).await,
            };
            busy.fetch_sub(1, Ordering::Relaxed);
            defer_close(&mut response, &closing, waiting.started() > 0);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head)
        .max_headers(limits.max_headers);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(limits.max_head as u32);
    // A connection error ends this connection only; the handler sees it as an error of the request
    // body.
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream.clone()), service));
    let end = |error: Option<String>| {
        let unanswered = busy.load(Ordering::Relaxed) + stream.started();
        let notable = error.is_some() || unanswered > 0;
        notable.then_some(ConnectionEnd { caller, error, unanswered })
    };
    loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => return end(ended.err().map(|error| describe(&*error))),
            read = poll_fn(|cx| stream.poll_read_ahead(cx, start)) => match read {
                ReadAhead::Data => continue,
                // The caller closed the connection; returning drops its requests and so cancels
                // them at their targets.
                ReadAhead::Eof => return end(None),
            },
            Ok(()) = phase.changed() => {}
        }
        let now = *phase.borrow_and_update();
        let sends_goaway = now == ListenerPhase::Draining && http2.load(Ordering::Relaxed);
        if now == ListenerPhase::Closing {
            closes.store(true, Ordering::Relaxed);
        }
        let is_last = now == ListenerPhase::Closing && stream.started() == 0;
        if sends_goaway || is_last {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Closes the connection behind this response if it is to close and no request that was started early
/// `waits` for its response; its target may have run it.
fn defer_close(response: &mut Response<Body>, closes: &AtomicBool, waits: bool) {
    let close = HeaderValue::from_static("close");
    if response.headers().get(CONNECTION) == Some(&close) {
        closes.store(true, Ordering::Relaxed);
    }
    if !closes.load(Ordering::Relaxed) {
        return;
    }
    if waits {
        response.headers_mut().remove(CONNECTION);
    } else {
        response.headers_mut().insert(CONNECTION, close);
    }
}

/// Describes an error with its causes.
fn describe(error: &(dyn Error + Send + Sync)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

/// Reads a small body, because the target could close its connection while the response waits
/// behind an earlier one. No part of the response has been written yet, so one whose body fails is
/// replaced; passing it on would end the connection and the responses behind it.
async fn read_waiting_body(response: Response<Body>) -> Response<Body> {
    buffer_small_body(response, Instant::now() + MAX_BODY_WAIT).await.unwrap_or_else(|_| {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    })
}

/// Returns whether a request that was started early equals the one that hyper has read.
fn is_same(head: &Request<()>, request: &Request<Incoming>) -> bool {
    head.method() == request.method()
        && head.uri() == request.uri()
        && head.headers() == request.headers()
}
