//! HTTP on top of hyper: client connections, listeners, headers and bodies.

mod connection_end;
mod connection_pool;
mod hop_headers;
mod http_targets;
mod incoming_body;
mod listener;
mod listener_control;
mod listener_event;
mod pooled_body;
mod pooled_connection;
mod read_ahead_budget;
mod read_ahead_stream;
mod read_limit;
mod request_tracker;
mod response_framing;
mod waiting_response;
mod write_timeout;

pub(crate) use self::http_targets::CROSSED;
pub use self::{
    connection_end::{ConnectionEnd, EndCause},
    connection_pool::{Acceptance, ConnectionPool},
    hop_headers::{set_framing, strip_hop_headers, to_origin_form},
    http_targets::HttpTargets,
    incoming_body::to_body,
    listener::{EarlyStartFilter, Listener, ListenerLimits},
    listener_control::{ListenerControl, ListenerPhase},
    listener_event::{ListenerEvent, ListenerObserver, LostResponse, ReplacedResponse},
    pooled_connection::ExchangeId,
};
