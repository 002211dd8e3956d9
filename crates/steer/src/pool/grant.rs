//! A slot that was granted to a request.

use crate::{MemberName, TargetName, Urgency};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// A slot in use, with the data that the pool needs when the slot is released.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) address: SocketAddr,
    /// The head of the response has arrived.
    pub(super) answered: bool,
    /// Slot time that the member was charged in advance.
    pub(super) charged: Duration,
    pub(super) class: usize,
    /// The target isn't running the request: it has responded or failed, or the request was not sent
    /// yet.
    pub(super) ended: bool,
    pub(super) id: u64,
    pub(super) member: MemberName,
    pub(super) granted_at: Instant,
    pub(super) target: TargetName,
    /// The request is a trial of an ejected target.
    pub(super) trial: bool,
    pub(super) urgency: Urgency,
    pub(super) buffered: bool,
}
