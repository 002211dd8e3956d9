//! What a pool knows about a class of requests.

use super::Ticket;
use crate::{ClassName, ClassTimes, Urgency, class_bound};
use std::time::Duration;
use tokio::time::Instant;

/// Bounds, times and slots in use of a class.
#[derive(Debug)]
pub(super) struct PoolClass {
    pub(super) busy: u32,
    pub(super) name: ClassName,
    /// Usual pace of the targets, as a logarithm of seconds.
    pub(super) reference: Option<f32>,
    pub(super) share: f64,
    pub(super) times: ClassTimes,
    pub(super) urgency: Urgency,
    refreshed: Option<Instant>,
}

impl PoolClass {
    /// Time between two comparisons of the targets.
    const REFRESH: Duration = Duration::from_millis(20);

    pub(super) fn new(ticket: &Ticket) -> Self {
        Self {
            busy: 0,
            name: ticket.class.clone(),
            reference: None,
            refreshed: None,
            share: ticket.slot_share,
            times: ClassTimes::default(),
            urgency: ticket.urgency,
        }
    }

    /// Slots that the class may hold out of some.
    pub(super) fn bound(&self, slots: u32) -> u32 {
        class_bound(self.share, slots)
    }

    /// Whether the comparison of the targets is due.
    pub(super) fn needs_reference(&mut self, now: Instant) -> bool {
        let due = self.refreshed.is_none_or(|at| now >= at + Self::REFRESH);
        if due {
            self.refreshed = Some(now);
        }
        due
    }
}
