//! A slot that was granted to a request.

use crate::{MemberName, TargetName, Urgency};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// What the pool needs to know when a slot is released.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) address: SocketAddr,
    pub(super) answered: bool,
    pub(super) charged: Duration,
    pub(super) class: usize,
    /// The target doesn't run the request: it has answered, failed, or was sent nothing yet.
    pub(super) ended: bool,
    pub(super) id: u64,
    pub(super) member: MemberName,
    pub(super) since: Instant,
    pub(super) target: TargetName,
    pub(super) trial: bool,
    pub(super) urgency: Urgency,
    pub(super) buffered: bool,
}
