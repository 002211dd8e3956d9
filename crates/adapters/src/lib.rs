//! Adapters for the ports: hyper for callers and targets, jsonrpsee between entry VMs, an HTTP
//! client for the platform, and logs, metrics and traces.
//!
//! The main types:
//!
//! - [`ConnectionPool`] sends requests and reports whether a failed one may have been sent.
//! - [`HttpPlatform`] is an HTTP client for the platform.
//! - [`HttpTargets`] sends requests to targets.
//! - [`RpcPeers`] sends messages and requests to other entry VMs.
//! - [`Listener`] accepts connections and serves each one in its own task.
//!
//! ```
//! let pool = adapters::ConnectionPool::new();
//! assert_eq!(pool.idle(), 0);
//! ```

mod callers;
mod http;
mod operators;
mod peers;
mod platform;
mod telemetry;

pub use self::{callers::*, http::*, operators::*, peers::*, platform::*, telemetry::*};
