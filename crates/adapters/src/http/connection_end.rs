//! End of a caller's connection.

use std::{net::SocketAddr, sync::Arc};

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

/// Receives the ends of connections with unanswered requests or errors.
pub type EndObserver = Arc<dyn Fn(&ConnectionEnd) + Send + Sync>;
