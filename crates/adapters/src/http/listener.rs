//! HTTP listener with one task per connection.

use crate::{
    http::{
        ConnectionEnd, EndCause, ListenerControl, ListenerObserver, ListenerPhase, LostResponse,
        ReplacedResponse,
        read_ahead_budget::ReadAheadBudget,
        read_ahead_stream::{
            HeadLimits, PipelinedRequest, ReadAhead, ReadAheadStream, has_close, parse_length,
        },
        request_tracker::RequestTracker,
        to_body,
        waiting_response::{ReadOn, WaitingLimit, WaitingResponse, catch_panic, hold_until_turn},
        write_timeout::WriteTimeout,
    },
    to_response,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, Version,
    header::{CONNECTION, CONTENT_LENGTH},
};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use std::{
    convert::Infallible,
    error::Error,
    fmt::{self, Debug, Formatter},
    future::{poll_fn, ready},
    io,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::Duration,
};
use steer::{Body, Refusal, empty_body, hold_until_end};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::sleep,
};

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
    /// Timeout for reading the head of a request, and for the first request of a connection.
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
    early: Option<EarlyStartFilter>,
    id_header: Option<HeaderName>,
    limits: ListenerLimits,
    observer: ListenerObserver,
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
        let observer = Arc::new(|_: &_| ());
        Ok(Self { control, early: None, id_header: None, limits, observer, socket })
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

    /// Sets the header that holds the id of a request. Events report the id, and a response that is
    /// replaced repeats it.
    pub fn with_request_id(mut self, header: HeaderName) -> Self {
        self.id_header = Some(header);
        self
    }

    /// Reports connections that end early, and responses that are replaced or lost.
    pub fn with_observer(mut self, observer: ListenerObserver) -> Self {
        self.observer = observer;
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
        let (waiting, budget) = (WaitingLimit::new(), ReadAheadBudget::new());
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            match self.socket.accept().await {
                Ok((stream, caller)) => {
                    let (handler, limits) = (handler.clone(), self.limits);
                    let (early, observer) = (self.early.clone(), Arc::clone(&self.observer));
                    let (id_header, waiting) = (self.id_header.clone(), waiting.clone());
                    let budget = budget.clone();
                    let phase = self.control.phase.subscribe();
                    self.control.tasks.spawn(async move {
                        let connection = CallerConnection {
                            budget,
                            caller,
                            early,
                            id_header,
                            limits,
                            observer,
                            waiting,
                        };
                        connection.serve(stream, handler, phase).await;
                        drop(permit);
                    });
                }
                // Out of file descriptors; wait until some are freed.
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

/// A caller's connection.
struct CallerConnection {
    budget: ReadAheadBudget,
    caller: SocketAddr,
    early: Option<EarlyStartFilter>,
    id_header: Option<HeaderName>,
    limits: ListenerLimits,
    observer: ListenerObserver,
    waiting: WaitingLimit,
}

impl CallerConnection {
    /// Serves the connection until it ends.
    async fn serve<H, F>(
        self,
        stream: TcpStream,
        handler: H,
        mut phase: watch::Receiver<ListenerPhase>,
    ) where
        H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let closing = *phase.borrow_and_update() == ListenerPhase::Closing;
        if closing || stream.set_nodelay(true).is_err() {
            return;
        }
        let Self { budget, caller, early, id_header, limits, observer, waiting } = self;
        let head_limits = HeadLimits { bytes: limits.max_head, headers: limits.max_headers };
        let stream: ReadAheadStream<WaitingResponse> = ReadAheadStream::new(
            WriteTimeout::new(stream, limits.write_timeout),
            head_limits,
            budget.share(),
        );
        let start = |head: &Request<()>| {
            let allowed = early.as_ref().is_some_and(|filter| filter(head));
            let permit = allowed.then(|| waiting.try_acquire()).flatten()?;
            let request = head.clone().map(|()| empty_body());
            Some(WaitingResponse::start(handler(request, caller), permit))
        };
        let requests: Arc<RequestTracker> = Arc::default();
        let (tracker, observe) = (Arc::clone(&requests), Arc::clone(&observer));
        let (pipelined, serve) = (stream.clone(), handler.clone());
        let header = id_header.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let processing = tracker.begin(request.version());
            let next = pipelined.pop_pipelined();
            let id = header.clone().and_then(|name| find_id(request.headers(), name));
            let (stream, serve) = (pipelined.clone(), serve.clone());
            let observe = Arc::clone(&observe);
            async move {
                let serve = |request: Request<Incoming>| serve(request.map(to_body), caller);
                let result = respond(&stream, next, request, serve).await;
                let mut response = result.unwrap_or_else(|refusal| {
                    let mut response = to_response(&refusal);
                    response.headers_mut().extend(id.clone());
                    let id = id.map(|(_, value)| value);
                    observe(&ReplacedResponse { caller, id, refusal }.into());
                    response
                });
                normalize_framing(&mut response);
                set_close(&mut response, &stream);
                drop(processing);
                let passing = stream.pass_response();
                Ok::<_, Infallible>(response.map(|body| hold_until_end(body, passing)))
            }
        });
        let builder = http_builder(&limits);
        // A connection error ends this connection only; the handler sees it as an error of the
        // request body.
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream.clone()), service));
        let end = |error: Option<String>| {
            let waiting = stream.take_started();
            let unanswered = requests.processing() + waiting.len();
            for (head, _) in waiting.iter().filter(|(_, response)| response.is_complete()) {
                let id = id_header.as_ref().and_then(|name| head.headers().get(name)).cloned();
                observer(&LostResponse { caller, id }.into());
            }
            // Hyper reports an end that it reads before the response as an error.
            let cause = match error {
                _ if stream.is_closed_by_caller() => EndCause::Caller,
                Some(error) => EndCause::Error(error),
                None => EndCause::Listener,
            };
            if unanswered > 0 || matches!(cause, EndCause::Error(_)) {
                observer(&ConnectionEnd { caller, cause, unanswered }.into());
            }
        };
        // Hyper's timeout starts with HTTP/1.1, which takes the first bytes to detect.
        let mut head_timeout = pin!(sleep(limits.head_timeout));
        let mut caller_end = pin!(stream.wait_caller_end());
        let mut closing = false;
        loop {
            tokio::select! {
                biased;
                // Never ready, so nothing is left to do here.
                () = poll_fn(|_| stream.poll_begin()) => {}
                // Before the connection, which a caller that never stops sending keeps ready.
                () = &mut head_timeout, if !requests.has_requests() => {
                    // A request may have come since the select began.
                    if !requests.has_requests() {
                        return end(None);
                    }
                }
                Ok(()) = phase.changed() => {
                    let now = *phase.borrow_and_update();
                    if now == ListenerPhase::Open {
                        continue;
                    }
                    stream.stop_early_starts();
                    let sends_goaway = requests.is_http2();
                    closing = sends_goaway || now == ListenerPhase::Closing;
                }
                ended = connection.as_mut() => {
                    if ended.is_err() && requests.is_unframed() {
                        stream.reset_on_close();
                    }
                    return end(ended.err().map(|error| describe(&*error)));
                }
                // Hyper closes after the response that it writes next, so the shutdown waits for
                // the requests that were started early.
                () = poll_fn(|_| stream.poll_none_started()), if closing => {
                    connection.as_mut().graceful_shutdown();
                    closing = false;
                }
                read = poll_fn(|cx| stream.poll_read_ahead(cx, start)) => match read {
                    ReadAhead::Data => {}
                    // The caller closed the connection; returning drops its requests and so cancels
                    // them at their targets.
                    ReadAhead::Eof => return end(None),
                },
                () = &mut caller_end, if stream.is_full() => return end(None),
            }
        }
    }
}

/// Returns a builder of connections with these limits.
fn http_builder(limits: &ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head)
        .max_headers(limits.max_headers);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(limits.max_head as u32);
    builder
}

/// Answers a request that hyper has read; it may have been started early.
async fn respond<S, F>(
    stream: &ReadAheadStream<WaitingResponse>,
    pipelined: PipelinedRequest<WaitingResponse>,
    request: Request<Incoming>,
    serve: S,
) -> Result<Response<Body>, Refusal>
where
    S: FnOnce(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let response = match pipelined {
        PipelinedRequest::Started(head, response) if is_same(&head, &request) => {
            response.take().await?
        }
        PipelinedRequest::Started(..) => {
            // Hyper reads the stream in another way, so no other request in the queue can be trusted.
            stream.discard_pipelined();
            catch_panic(serve(request)).await?
        }
        PipelinedRequest::Deferred | PipelinedRequest::Ready(..) => {
            catch_panic(serve(request)).await?
        }
    };
    if stream.started() == 0 {
        // The head of a slow stream is passed on at once, as nothing else is lost with it.
        return Ok(response);
    }
    hold_until_turn(response, ready(ReadOn::Body)).await
}

/// Removes what makes hyper close the connection behind a response: the version of a target that
/// speaks HTTP/1.0, and a length that isn't a plain number, such as a repeated one.
fn normalize_framing(response: &mut Response<Body>) {
    *response.version_mut() = Version::HTTP_11;
    let headers = response.headers_mut();
    if headers.get_all(CONTENT_LENGTH).iter().any(|value| parse_length(value).is_none()) {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Lets only the last response to the requests that were started early close the connection.
fn set_close(response: &mut Response<Body>, stream: &ReadAheadStream<WaitingResponse>) {
    let headers = response.headers_mut();
    let requested = has_close(headers);
    if stream.closes_after(requested) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    } else if requested {
        headers.remove(CONNECTION);
    }
}

/// Returns the header that holds the id of a request.
fn find_id(headers: &HeaderMap, name: HeaderName) -> Option<(HeaderName, HeaderValue)> {
    let value = headers.get(&name)?.clone();
    Some((name, value))
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

/// Returns whether a request that was started early equals the one that hyper has read.
fn is_same(head: &Request<()>, request: &Request<Incoming>) -> bool {
    head.method() == request.method()
        && head.uri() == request.uri()
        && head.headers() == request.headers()
}
