//! A slot that was given to a request.

use crate::{MemberName, TargetName, Urgency};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// What the pool has to know to take a slot back.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) address: SocketAddr,
    pub(super) answered: bool,
    pub(super) charged: Duration,
    pub(super) class: usize,
    pub(super) id: u64,
    pub(super) member: MemberName,
    pub(super) since: Instant,
    pub(super) target: TargetName,
    pub(super) trial: bool,
    pub(super) urgency: Urgency,
    pub(super) whole: bool,
}
