//! What a pool knows about one of its targets.

use crate::{
    LoadCorrection, LoadReport, OutlierEjection, RelativeLatency, SlowStart, TargetBackoff,
    TargetCandidate, TargetName, TargetSettings,
};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Slots in use, and all that bounds them.
#[derive(Debug)]
pub(super) struct PoolTarget {
    pub(super) address: SocketAddr,
    pub(super) backoff: TargetBackoff,
    pub(super) busy: u32,
    pub(super) classes: Vec<u32>,
    pub(super) correction: LoadCorrection,
    pub(super) drained: bool,
    pub(super) ejection: OutlierEjection,
    pub(super) leaving: bool,
    /// When the target has noticed the end of cancelled requests, in order of time.
    lingering: VecDeque<Instant>,
    pub(super) name: TargetName,
    pub(super) latency: RelativeLatency,
    pub(super) slots: u32,
    pub(super) slow_start: SlowStart,
}

impl PoolTarget {
    /// Time until a target has noticed that a request was cancelled.
    const LINGER: Duration = Duration::from_millis(50);

    pub(super) fn new(name: TargetName, settings: &TargetSettings) -> Self {
        Self {
            address: settings.address,
            backoff: TargetBackoff::default(),
            busy: 0,
            classes: Vec::new(),
            correction: LoadCorrection::default(),
            drained: false,
            ejection: OutlierEjection::default(),
            leaving: false,
            lingering: VecDeque::new(),
            name,
            latency: RelativeLatency::default(),
            slots: settings.slots,
            slow_start: SlowStart::default(),
        }
    }

    /// Takes changed settings; a target that comes back from a drain is cold.
    pub(super) fn update(&mut self, settings: &TargetSettings, drained: bool) {
        if self.drained && !drained {
            self.slow_start.reset();
            self.latency.clear();
        }
        self.address = settings.address;
        self.drained = drained;
        self.slots = settings.slots;
    }

    /// Whether settings and the target itself let it take work.
    pub(super) fn is_in_service(&self) -> bool {
        !self.drained && !self.leaving
    }

    /// Slots that may be used now; `grace` is set until a former owner's work must have ended.
    pub(super) fn limit(&self, now: Instant, grace: Option<Instant>) -> u32 {
        if !self.is_in_service() || self.ejection.is_ejected() || self.backoff.is_paused(now) {
            return 0;
        }
        let known = self.slots.saturating_sub(self.correction.foreign(now)).max(1);
        let limit =
            self.slow_start.limit(now, self.slots).min(known).saturating_sub(self.lingered(now));
        if self.is_in_grace(now, grace) { limit.min(self.slots.div_ceil(2)) } else { limit }
    }

    /// Whether what a former owner left at the target isn't known yet.
    fn is_in_grace(&self, now: Instant, grace: Option<Instant>) -> bool {
        let Some(end) = grace.filter(|end| now < *end) else { return false };
        let start = end - super::TargetPool::GRACE;
        self.correction.reported_at().is_none_or(|at| at < start)
    }

    /// The target as the choice sees it, for a class that may hold some of its slots.
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

    /// Whether the target waits for a trial request and could take it.
    pub(super) fn wants_trial(&self, now: Instant) -> bool {
        let open = self.is_in_service() && !self.backoff.is_paused(now);
        open && self.ejection.is_trial_due(now) && self.busy + self.lingered(now) < self.slots
    }

    pub(super) fn begin(&mut self, class: usize) {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, 0);
        }
        self.classes[class] += 1;
        self.busy += 1;
        self.correction.note_own(self.busy);
    }

    pub(super) fn end(&mut self, class: usize) {
        self.classes[class] -= 1;
        self.busy -= 1;
    }

    /// Keeps the slot of a cancelled request until the target has noticed.
    pub(super) fn linger(&mut self, now: Instant) {
        while self.lingering.front().is_some_and(|end| *end <= now) {
            self.lingering.pop_front();
        }
        self.lingering.push_back(now + Self::LINGER);
    }

    /// Slots of cancelled requests that the target may not have noticed yet.
    fn lingered(&self, now: Instant) -> u32 {
        self.lingering.iter().filter(|end| **end > now).count() as u32
    }

    /// The next time at which such a slot is free.
    pub(super) fn next_lingered(&self, now: Instant) -> Option<Instant> {
        self.lingering.iter().find(|end| **end > now).copied()
    }

    pub(super) fn take_report(&mut self, now: Instant, report: LoadReport) {
        if self.leaving && !report.leaving {
            self.slow_start.reset();
        }
        self.leaving = report.leaving;
        self.correction.take_report(now, report, self.busy);
    }
}
