//! Pool of HTTP/1.1 client connections to targets, peers and the platform.

use super::{
    pooled_body::PooledBody,
    pooled_connection::{ExchangeId, PooledConnection, ResponseEnd},
    response_framing::check_framing,
    to_body,
};
use http::{Request, Response, header::CONTENT_LENGTH, response::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::{
    collections::BTreeMap,
    error::Error,
    fmt::{self, Debug, Formatter},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, SendCheck, SendError, empty_body};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

type IdleConnections = BTreeMap<SocketAddr, Vec<(PooledConnection, Instant)>>;

/// How much of an accepted response must have arrived before it is returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// All of it, and no other response behind it on the connection; its body is discarded. For a
    /// response that states that the request wasn't run: if another status follows, either may be true.
    Alone,
    /// Its head; the body is passed on as it arrives.
    Head,
}

/// Reuses idle connections, each for one request at a time. A connection is closed instead of being
/// reused if its response failed or wasn't read to its end.
///
/// ```
/// assert_eq!(adapters::ConnectionPool::new().idle(), 0);
/// ```
pub struct ConnectionPool {
    connect_timeout: Duration,
    idle_connections: Mutex<IdleConnections>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self { connect_timeout: Self::CONNECT_TIMEOUT, idle_connections: Mutex::default() }
    }
}

impl ConnectionPool {
    /// Default timeout for establishing a connection.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    /// Idle time after which a connection is no longer reused. It is closed when the next request to
    /// its address looks for an idle connection.
    pub const IDLE_LIMIT: Duration = Duration::from_secs(15);
    /// Largest body of a response that is accepted alone.
    const MAX_DISCARDED: usize = 64 << 10;
    /// Time for which the end of a response that is accepted alone is awaited. After it, the response
    /// is returned and its connection closed.
    const ALONE_TIMEOUT: Duration = Duration::from_millis(20);
    /// Timeout for an idle connection to become ready for its next request.
    const READY_TIMEOUT: Duration = Duration::from_millis(5);

    /// Creates an empty pool.
    ///
    /// ```
    /// let pool = adapters::ConnectionPool::new();
    /// assert_eq!(pool.idle(), 0);
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Creates an empty pool with the given connect timeout.
    ///
    /// ```
    /// let timeout = std::time::Duration::from_millis(300);
    /// let pool = adapters::ConnectionPool::with_connect_timeout(timeout);
    /// assert_eq!(pool.idle(), 0);
    /// ```
    pub fn with_connect_timeout(timeout: Duration) -> Arc<Self> {
        Arc::new(Self { connect_timeout: timeout, ..Self::default() })
    }

    /// Returns the number of idle connections.
    ///
    /// ```
    /// assert_eq!(adapters::ConnectionPool::new().idle(), 0);
    /// ```
    pub fn idle(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    /// Closes the idle connections to a server.
    ///
    /// ```
    /// let pool = adapters::ConnectionPool::new();
    /// pool.close_idle("127.0.0.1:1".parse().unwrap());
    /// assert_eq!(pool.idle(), 0);
    /// ```
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle_connections.lock().expect("no thread panics while it holds the idle connections")
    }

    /// Sends a request and returns the response once its head has arrived. If a reused connection
    /// fails before any byte of the request was sent, the request is retried on another connection.
    /// A request whose [`SendCheck`] fails once a connection is open isn't sent.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] if no byte of the request was sent; the error contains the request.
    /// [`SendError::Sent`] if the request may have reached the server.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        self.send_checked(address, request, |_| Ok(Acceptance::Head)).await
    }

    /// Sends a request like [`Self::send`], and accepts the response only if `check` does. The
    /// connection of a rejected response is closed, because the true response may follow on it.
    ///
    /// # Errors
    ///
    /// Those of [`Self::send`], and [`SendError::Sent`] for a response that `check` rejects, or that
    /// it accepts only alone if it isn't.
    pub async fn send_checked(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Body>,
        check: impl FnOnce(&Parts) -> Result<Acceptance, &'static str>,
    ) -> Result<Response<Body>, SendError> {
        let id = request.extensions().get::<ExchangeId>().cloned();
        loop {
            let (mut connection, reused) = match self.check_out(address, id.as_ref()).await {
                Ok(connection) => connection,
                Err(reason) => return Err(SendError::not_sent(reason, request)),
            };
            let confirmed = request.extensions().get().map_or(Ok(()), SendCheck::confirm);
            if let Err(cause) = confirmed {
                self.check_in(address, connection);
                return Err(SendError::not_sent(format!("withheld: {cause}"), request));
            }
            match connection.send(request, id.clone()).await {
                Ok(response) => {
                    let (mut head, body) = response.into_parts();
                    // The parser skips all interim responses but a switch of protocols.
                    if head.status.is_informational() {
                        return Err(SendError::sent("the server switched protocols"));
                    }
                    check_framing(&mut head.headers).map_err(SendError::sent)?;
                    let acceptance = check(&head).map_err(SendError::sent)?;
                    let response = Response::from_parts(head, body);
                    return match acceptance {
                        Acceptance::Alone => self.read_alone(address, connection, response).await,
                        Acceptance::Head => {
                            Ok(self.to_pooled_response(address, connection, response))
                        }
                    };
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(unsent) => {
                        return Err(SendError::not_sent(error.error().to_string(), unsent));
                    }
                    None => return Err(to_send_error(&error.into_error())),
                },
            }
        }
    }

    /// Discards the body of a response, and fails if a response with another status follows on its
    /// connection.
    async fn read_alone(
        &self,
        address: SocketAddr,
        mut connection: PooledConnection,
        response: Response<Incoming>,
    ) -> Result<Response<Body>, SendError> {
        let (mut head, body) = response.into_parts();
        // A body that breaks off doesn't change what the head says.
        let end = async {
            let body = Limited::new(body, Self::MAX_DISCARDED).collect().await;
            if body.is_err() { ResponseEnd::Closed } else { connection.response_end().await }
        };
        match timeout(Self::ALONE_TIMEOUT, end).await {
            Ok(ResponseEnd::Idle) => self.check_in(address, connection),
            // A copy of the response contradicts nothing.
            Ok(ResponseEnd::Followed(status)) if status != head.status => {
                return Err(SendError::sent("another response follows"));
            }
            Ok(ResponseEnd::Closed | ResponseEnd::Followed(_)) | Err(_) => {}
        }
        head.headers.remove(CONTENT_LENGTH);
        Ok(Response::from_parts(head, empty_body()))
    }

    fn to_pooled_response(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: PooledConnection,
        response: Response<Incoming>,
    ) -> Response<Body> {
        response.map(|incoming| {
            let body = PooledBody {
                address,
                connection: Some(connection),
                inner: to_body(incoming),
                pool: Arc::clone(self),
            };
            body.boxed_unsync()
        })
    }

    pub(super) fn check_in(&self, address: SocketAddr, connection: PooledConnection) {
        self.lock().entry(address).or_default().push((connection, Instant::now()));
    }

    /// Returns an idle connection or opens a new one; the flag is true for a reused connection.
    async fn check_out(
        &self,
        address: SocketAddr,
        id: Option<&ExchangeId>,
    ) -> Result<(PooledConnection, bool), String> {
        let reuse = id.is_none_or(ExchangeId::is_known);
        while reuse && let Some(mut connection) = self.pop_idle(address) {
            let ready = timeout(Self::READY_TIMEOUT, connection.ready()).await;
            if ready == Ok(true) && connection.may_carry(id) {
                return Ok((connection, true));
            }
        }
        let connection = self.connect(address).await.map_err(|e| e.to_string())?;
        Ok((connection, false))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "connect timed out");
        let connecting = timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(timed_out)??;
        stream.set_nodelay(true)?;
        PooledConnection::open(stream).await.map_err(io::Error::other)
    }

    /// Returns whether a server refuses a new connection, as no process listens at its address. A
    /// connection that it accepts is kept for the next request.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let (address, pool) = (listener.local_addr().unwrap(), adapters::ConnectionPool::new());
    /// assert!(!pool.refuses_connections(address).await);
    /// drop(listener);
    /// assert!(pool.refuses_connections(address).await);
    /// # });
    /// ```
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        match self.connect(address).await {
            Ok(connection) => {
                self.check_in(address, connection);
                false
            }
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|(c, since)| !c.is_closed() && since.elapsed() < Self::IDLE_LIMIT);
        let popped = connections.pop().map(|(connection, _)| connection);
        if connections.is_empty() {
            idle.remove(&address);
        }
        popped
    }
}

/// Converts the error of a request that was sent.
fn to_send_error(error: &hyper::Error) -> SendError {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let was_reset = cause.is_some_and(|cause| {
        use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset};
        matches!(cause.kind(), BrokenPipe | ConnectionAborted | ConnectionReset)
    });
    if error.is_incomplete_message() || was_reset {
        return SendError::connection_ended(error.to_string());
    }
    SendError::sent(error.to_string())
}

impl Debug for ConnectionPool {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool").field("idle", &self.idle()).finish()
    }
}
