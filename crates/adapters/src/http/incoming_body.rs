//! Conversion of hyper's bodies.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use steer::{Body, BodyError};

/// Converts a body that hyper receives to the body type of the ports.
pub fn to_body(incoming: Incoming) -> Body {
    incoming.map_err(|e| BodyError { reason: e.to_string() }).boxed_unsync()
}
