//! Accepts connections, one task each.

use super::{
    ListenerControl, ListenerPhase,
    early_stream::{Ahead, EarlyStream, Waiting},
    to_body,
    write_limit::WriteLimit,
};
use futures_util::stream::iter;
use http::{Request, Response, Version};
use http_body::Body as _;
use http_body_util::{BodyExt, StreamBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use std::{
    convert::Infallible,
    fmt::{self, Debug, Formatter},
    future::poll_fn,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use steer::{Body, empty_body, full_body};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};
use tokio_util::task::AbortOnDropHandle;

/// Largest body, in bytes, of an answer that is read before its turn.
const MOST_KEPT: u64 = 64 << 10;

/// Tells whether a pipelined request may be started while an earlier one is under way.
pub type EarlyFilter = Arc<dyn Fn(&Request<()>) -> bool + Send + Sync>;

/// Limits of a listener.
///
/// ```
/// use adapters::ListenerLimits;
/// assert_eq!(ListenerLimits::default().connections(100).connections, 100);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Most connections at a time.
    pub connections: usize,
    /// Longest time for the head of a request.
    pub head_wait: Duration,
    /// Largest head of a request in bytes.
    pub max_head: usize,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Longest time in which the other side takes no byte of an answer.
    pub write_wait: Duration,
}

impl ListenerLimits {
    /// Sets the most connections at a time.
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
            head_wait: Duration::from_secs(10),
            max_head: 32 << 10,
            max_headers: 100,
            write_wait: Duration::from_secs(30),
        }
    }
}

/// A bound socket with its limits.
pub struct Listener {
    control: ListenerControl,
    early: Option<EarlyFilter>,
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
    /// Where the address can't be bound.
    pub async fn bind(address: SocketAddr, limits: ListenerLimits) -> io::Result<Self> {
        let control = ListenerControl::new();
        Ok(Self { control, early: None, limits, socket: TcpListener::bind(address).await? })
    }

    /// Puts the connections under a control that other listeners may share.
    pub fn controlled(mut self, control: &ListenerControl) -> Self {
        self.control = control.clone();
        self
    }

    /// Starts pipelined requests without a body early where the filter allows it; their answers
    /// keep their order.
    pub fn early(mut self, filter: EarlyFilter) -> Self {
        self.early = Some(filter);
        self
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// Where the operating system can't tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves connections for ever, HTTP/1.1 and HTTP/2, with one handler for all requests.
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
                    let early = self.early.clone();
                    let phase = self.control.phase.subscribe();
                    self.control.tasks.spawn(async move {
                        serve_connection(stream, caller, handler, limits, phase, early).await;
                        drop(permit);
                    });
                }
                // Out of file descriptors: wait for some to be freed.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    caller: SocketAddr,
    handler: H,
    limits: ListenerLimits,
    mut phase: watch::Receiver<ListenerPhase>,
    early: Option<EarlyFilter>,
) where
    H: Fn(Request<Body>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let closing = *phase.borrow_and_update() == ListenerPhase::Closing;
    if closing || stream.set_nodelay(true).is_err() {
        return;
    }
    let multiplexed = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&multiplexed);
    let stream: EarlyStream<AbortOnDropHandle<Response<Body>>> =
        EarlyStream::new(WriteLimit::new(stream, limits.write_wait));
    let start = |head: &Request<()>| {
        let allowed = early.as_ref().is_some_and(|filter| filter(head));
        let request = head.clone().map(|()| empty_body());
        allowed.then(|| {
            let answer = handler(request, caller);
            AbortOnDropHandle::new(tokio::spawn(async { read_small(answer.await).await }))
        })
    };
    let (waiting, serve) = (stream.clone(), handler.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        seen.store(request.version() == Version::HTTP_2, Ordering::Relaxed);
        let (waiting, serve) = (waiting.next(), serve.clone());
        async move {
            if let Waiting::Started(head, answer) = waiting
                && is_same(&head, &request)
                && let Ok(answer) = answer.await
            {
                return Ok::<_, Infallible>(answer);
            }
            Ok(serve(request.map(to_body), caller).await)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_wait)
        .max_buf_size(limits.max_head)
        .max_headers(limits.max_headers);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(limits.max_head as u32);
    // An error ends this connection only, and its request's body tells the flow.
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream.clone()), service));
    loop {
        tokio::select! {
            biased;
            _ended = connection.as_mut() => return,
            ahead = poll_fn(|cx| stream.poll_ahead(cx, start)) => match ahead {
                Ahead::Data => continue,
                // The caller has left: its requests end here, and their targets are told.
                Ahead::Ended => return,
            },
            Ok(()) = phase.changed() => {}
        }
        let now = *phase.borrow_and_update();
        let leaves = now == ListenerPhase::Draining && multiplexed.load(Ordering::Relaxed);
        if leaves || now == ListenerPhase::Closing {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Reads a small body whole: an answer that waits behind another one must not depend on how long
/// its target keeps the connection. A body that breaks off stays one that does.
async fn read_small(answer: Response<Body>) -> Response<Body> {
    let length = answer.body().size_hint().upper();
    if length.is_none_or(|length| length > MOST_KEPT) {
        return answer;
    }
    let (head, body) = answer.into_parts();
    let body = match body.collect().await {
        Ok(whole) => full_body(whole.to_bytes()),
        Err(error) => StreamBody::new(iter([Err(error)])).boxed_unsync(),
    };
    Response::from_parts(head, body)
}

/// Whether a request that was started early is the one that hyper has read.
fn is_same(head: &Request<()>, request: &Request<Incoming>) -> bool {
    head.method() == request.method()
        && head.uri() == request.uri()
        && head.headers() == request.headers()
}
