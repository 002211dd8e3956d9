//! State of a target in a pool.

use crate::{
    LoadCorrection, LoadReport, OutlierEjection, RelativeLatency, SlowStart, TargetBackoff,
    TargetCandidate, TargetName, TargetSettings,
};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// The slots in use at a target, and everything that limits them.
#[derive(Debug)]
pub(super) struct PoolTarget {
    pub(super) address: SocketAddr,
    pub(super) backoff: TargetBackoff,
    /// Number of slots in use.
    pub(super) busy: u32,
    /// When the slots of cancelled requests become free, in ascending order.
    cancelled: VecDeque<Instant>,
    /// Number of slots in use by class index.
    pub(super) classes: Vec<u32>,
    pub(super) correction: LoadCorrection,
    pub(super) drained: bool,
    pub(super) ejection: OutlierEjection,
    pub(super) latency: RelativeLatency,
    pub(super) leaving: bool,
    pub(super) name: TargetName,
    pub(super) slots: u32,
    pub(super) slow_start: SlowStart,
}

impl PoolTarget {
    /// Time until the target notices that a request was cancelled.
    const CANCEL_DELAY: Duration = Duration::from_millis(50);

    pub(super) fn new(name: TargetName, settings: &TargetSettings) -> Self {
        Self {
            address: settings.address,
            backoff: TargetBackoff::default(),
            busy: 0,
            cancelled: VecDeque::new(),
            classes: Vec::new(),
            correction: LoadCorrection::default(),
            drained: false,
            ejection: OutlierEjection::default(),
            latency: RelativeLatency::default(),
            leaving: false,
            name,
            slots: settings.slots,
            slow_start: SlowStart::default(),
        }
    }

    /// Applies changed settings; a target that returns from a drain is cold.
    pub(super) fn update(&mut self, settings: &TargetSettings, drained: bool) {
        if self.drained && !drained {
            self.slow_start.reset();
            self.latency.clear();
        }
        self.address = settings.address;
        self.drained = drained;
        self.slots = settings.slots;
    }

    /// Whether the target is neither drained by the settings nor leaving by its own report.
    pub(super) fn is_in_service(&self) -> bool {
        !self.drained && !self.leaving
    }

    /// Number of slots that are usable now; `grace` is the end of the grace period after a change
    /// of owner.
    pub(super) fn limit(&self, now: Instant, grace: Option<Instant>) -> u32 {
        if !self.is_in_service() || self.ejection.is_ejected() || self.backoff.is_paused(now) {
            return 0;
        }
        let available = self.slots.saturating_sub(self.correction.foreign_slots(now)).max(1);
        let limit = self
            .slow_start
            .usable_slots(now, self.slots)
            .min(available)
            .saturating_sub(self.cancelled_slots(now));
        if self.is_in_grace(now, grace) { limit.min(self.slots.div_ceil(2)) } else { limit }
    }

    /// Whether the grace period applies: the target has sent no load report since the change of
    /// owner, so the load of the former owner is unknown.
    fn is_in_grace(&self, now: Instant, grace: Option<Instant>) -> bool {
        let Some(end) = grace.filter(|end| now < *end) else { return false };
        let start = end - super::TargetPool::GRACE_PERIOD;
        self.correction.reported_at().is_none_or(|at| at < start)
    }

    /// The candidate for a choice; `None` if the class already holds `bound` slots of the target.
    pub(super) fn candidate(
        &self,
        now: Instant,
        grace: Option<Instant>,
        class: usize,
        bound: u32,
    ) -> Option<TargetCandidate> {
        let held = self.classes.get(class).copied().unwrap_or_default();
        if held >= bound {
            return None;
        }
        let limit = self.limit(now, grace);
        Some(TargetCandidate {
            busy: self.busy,
            limit,
            latency: self.latency.ratio(),
            slots: self.slots,
        })
    }

    /// Whether a trial request is due and the target has a free slot for it.
    pub(super) fn wants_trial(&self, now: Instant) -> bool {
        let is_available = self.is_in_service() && !self.backoff.is_paused(now);
        is_available
            && self.ejection.is_trial_due(now)
            && self.busy + self.cancelled_slots(now) < self.slots
    }

    pub(super) fn begin_request(&mut self, class: usize) {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, 0);
        }
        self.classes[class] += 1;
        self.busy += 1;
        self.correction.record_own(self.busy);
    }

    pub(super) fn end_request(&mut self, class: usize) {
        self.classes[class] -= 1;
        self.busy -= 1;
    }

    /// Keeps the slot of a cancelled request occupied until the target has noticed the cancellation.
    pub(super) fn hold_cancelled(&mut self, now: Instant) {
        while self.cancelled.front().is_some_and(|end| *end <= now) {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(now + Self::CANCEL_DELAY);
    }

    /// Number of slots of cancelled requests that the target may still be running.
    fn cancelled_slots(&self, now: Instant) -> u32 {
        self.cancelled.iter().filter(|end| **end > now).count() as u32
    }

    /// When the next slot of a cancelled request becomes free.
    pub(super) fn next_cancelled(&self, now: Instant) -> Option<Instant> {
        self.cancelled.iter().find(|end| **end > now).copied()
    }

    pub(super) fn apply_report(&mut self, now: Instant, report: LoadReport) {
        if self.leaving && !report.leaving {
            self.slow_start.reset();
        }
        self.leaving = report.leaving;
        self.correction.apply_report(now, report, self.busy);
    }
}
