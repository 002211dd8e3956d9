//! Bodies as hyper reads them.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use steer::{Body, BodyError};

/// Makes a port's body from what hyper reads off a connection.
pub fn to_body(incoming: Incoming) -> Body {
    incoming.map_err(|e| BodyError { reason: e.to_string() }).boxed_unsync()
}
