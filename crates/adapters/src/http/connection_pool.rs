//! Pool of HTTP/1.1 client connections to targets, peers and the platform.

use super::{pooled_body::PooledBody, to_body};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{
    collections::BTreeMap,
    fmt::{self, Debug, Formatter},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, SendError};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

type IdleConnections = BTreeMap<SocketAddr, Vec<(SendRequest<Body>, Instant)>>;

/// Reuses idle connections; each carries one request at a time. A connection whose response didn't
/// end cleanly is closed instead of being reused.
///
/// ```
/// assert_eq!(adapters::ConnectionPool::new().idle(), 0);
/// ```
pub struct ConnectionPool {
    connect_timeout: Duration,
    idle: Mutex<IdleConnections>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self { connect_timeout: Self::CONNECT_TIMEOUT, idle: Mutex::default() }
    }
}

impl ConnectionPool {
    /// Default timeout of establishing a connection.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    /// Idle time after which a connection is closed rather than reused.
    pub const IDLE_LIMIT: Duration = Duration::from_secs(15);
    /// Longest wait for an idle connection to become ready for its next request.
    const READY_WAIT: Duration = Duration::from_millis(5);

    /// Creates an empty pool.
    ///
    /// ```
    /// let pool = adapters::ConnectionPool::new();
    /// assert_eq!(pool.idle(), 0);
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Creates an empty pool with its own connect timeout.
    ///
    /// ```
    /// let timeout = std::time::Duration::from_millis(300);
    /// let pool = adapters::ConnectionPool::with_connect_timeout(timeout);
    /// assert_eq!(pool.idle(), 0);
    /// ```
    pub fn with_connect_timeout(timeout: Duration) -> Arc<Self> {
        Arc::new(Self { connect_timeout: timeout, ..Self::default() })
    }

    /// Number of idle connections.
    ///
    /// ```
    /// assert_eq!(adapters::ConnectionPool::new().idle(), 0);
    /// ```
    pub fn idle(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().expect("no holder of the pool's lock panics")
    }

    /// Sends a request and waits for the head of its response. A request that a reused connection
    /// rejects unsent is retried on another connection.
    ///
    /// # Errors
    ///
    /// `NotSent` returns the request if no byte of it was sent.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        loop {
            let (mut connection, reused) = match self.check_out(address).await {
                Ok(connection) => connection,
                Err(reason) => return Err(SendError::not_sent(reason, request)),
            };
            match connection.try_send_request(request).await {
                Ok(response) => return Ok(self.to_pooled_response(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(back) if reused => request = back,
                    Some(back) => {
                        return Err(SendError::not_sent(error.error().to_string(), back));
                    }
                    None => return Err(SendError::sent(error.into_error().to_string())),
                },
            }
        }
    }

    fn to_pooled_response(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: SendRequest<Body>,
        response: Response<hyper::body::Incoming>,
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

    pub(super) fn check_in(&self, address: SocketAddr, connection: SendRequest<Body>) {
        self.lock().entry(address).or_default().push((connection, Instant::now()));
    }

    /// Takes an idle connection or opens a new one; the flag is true for a reused connection.
    async fn check_out(&self, address: SocketAddr) -> Result<(SendRequest<Body>, bool), String> {
        while let Some(mut connection) = self.pop_idle(address) {
            let ready = timeout(Self::READY_WAIT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok((connection, true));
            }
        }
        let stream = timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| "connect timed out".to_owned())?
            .map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        // The task ends with the connection; the pending request receives its errors.
        tokio::spawn(connection);
        Ok((sender, false))
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
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

impl Debug for ConnectionPool {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool").field("idle", &self.idle()).finish()
    }
}
