//! The adapters: hyper towards callers and targets, jsonrpsee between entry VMs, an HTTP client
//! of the platform, and logs, metrics and traces.
//!
//! Five types to know:
//!
//! - [`ConnectionPool`] sends requests and knows whether a byte has left.
//! - [`HttpPlatform`] is the platform's client.
//! - [`HttpTargets`] sends requests to targets.
//! - [`RpcPeers`] sends messages and requests to other entry VMs.
//! - [`Listener`] accepts connections, one task each.
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
