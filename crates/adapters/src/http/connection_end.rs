//! End of a caller's connection.

use derive_more::Display;
use std::net::SocketAddr;

/// What ended a caller's connection.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EndCause {
    /// The caller closed the connection, or it failed while it was read.
    #[display("caller")]
    Caller,
    /// The connection failed on this side, such as by a response that broke off.
    #[display("error: {_0}")]
    Error(String),
    /// The listener closed the connection.
    #[display("listener")]
    Listener,
}

/// A caller's connection that ended before all of its requests were answered, or with an error.
#[derive(Clone, Debug)]
pub struct ConnectionEnd {
    /// The caller.
    pub caller: SocketAddr,
    /// What ended the connection.
    pub cause: EndCause,
    /// Number of requests that were started and have no response yet.
    pub unanswered: usize,
}
