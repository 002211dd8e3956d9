//! End of a caller's connection.

use std::net::SocketAddr;

/// A caller's connection that ended before all of its requests were answered, or with an error.
#[derive(Clone, Debug)]
pub struct ConnectionEnd {
    /// The caller.
    pub caller: SocketAddr,
    /// Error that ended the connection; `None` if the caller closed it.
    pub error: Option<String>,
    /// Number of requests that were started and have no response yet.
    pub unanswered: usize,
}
