//! HTTP by hyper: connections, listeners, headers and bodies.

mod connection_pool;
mod early_stream;
mod hop_headers;
mod http_targets;
mod incoming_body;
mod listener;
mod listener_control;
mod returning_body;
mod write_limit;

pub use self::{
    connection_pool::ConnectionPool,
    hop_headers::{strip_hop_headers, to_origin_form},
    http_targets::HttpTargets,
    incoming_body::to_body,
    listener::{EarlyFilter, Listener, ListenerLimits},
    listener_control::{ListenerControl, ListenerPhase},
};
