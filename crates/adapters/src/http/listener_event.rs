//! Events on the connections of a listener.

use super::ConnectionEnd;
use derive_more::From;
use http::HeaderValue;
use std::{net::SocketAddr, sync::Arc};
use steer::Refusal;

/// A whole response that waited for its turn on a connection, and was dropped when that ended.
#[derive(Clone, Debug)]
pub struct LostResponse {
    /// The caller.
    pub caller: SocketAddr,
    /// Id of the request, if it has one.
    pub id: Option<HeaderValue>,
}

/// A response that failed before any of it was written, and that was replaced by a refusal.
#[derive(Clone, Debug)]
pub struct ReplacedResponse {
    /// The caller.
    pub caller: SocketAddr,
    /// Id of the request, if it has one.
    pub id: Option<HeaderValue>,
    /// What the caller received instead.
    pub refusal: Refusal,
}

/// An event on a caller's connection that the handler of its requests doesn't see.
#[derive(Clone, Debug, From)]
pub enum ListenerEvent {
    /// The connection ended before all of its requests were answered, or with an error.
    Ended(ConnectionEnd),
    /// A whole response was lost.
    Lost(LostResponse),
    /// A response was replaced.
    Replaced(ReplacedResponse),
}

/// Receives the events of a listener.
pub type ListenerObserver = Arc<dyn Fn(&ListenerEvent) + Send + Sync>;
