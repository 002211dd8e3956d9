//! State of a request class in a pool.

use super::SlotRequest;
use crate::{ClassName, ClassTimes, Urgency, class_bound};
use std::time::Duration;
use tokio::time::Instant;

/// Limits, slot times and slots in use of a class.
#[derive(Debug)]
pub(super) struct PoolClass {
    /// Slots in use.
    pub(super) busy: u32,
    pub(super) name: ClassName,
    /// Reference latency of the targets, as the logarithm of seconds.
    pub(super) reference: Option<f32>,
    /// Maximum share of the slots that the class may hold.
    pub(super) share: f64,
    pub(super) times: ClassTimes,
    pub(super) urgency: Urgency,
    /// Time of the last update of the reference latency.
    refreshed: Option<Instant>,
}

impl PoolClass {
    /// Minimum time between two updates of the reference latency.
    const REFERENCE_REFRESH: Duration = Duration::from_millis(20);

    pub(super) fn new(request: &SlotRequest) -> Self {
        Self {
            busy: 0,
            name: request.class.clone(),
            reference: None,
            refreshed: None,
            share: request.slot_share,
            times: ClassTimes::default(),
            urgency: request.urgency,
        }
    }

    /// Number of slots out of `slots` that the class may hold.
    pub(super) fn bound(&self, slots: u32) -> u32 {
        class_bound(self.share, slots)
    }

    /// Whether an update of the reference latency is due; if so, restarts the interval.
    pub(super) fn needs_reference(&mut self, now: Instant) -> bool {
        let due = self.refreshed.is_none_or(|at| now >= at + Self::REFERENCE_REFRESH);
        if due {
            self.refreshed = Some(now);
        }
        due
    }
}
