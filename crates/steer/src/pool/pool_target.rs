//! What a pool knows about one of its targets.

use crate::{
    EaseOut, LoadCorrection, LoadReport, TargetBackoff, TargetCandidate, TargetName, TargetPace,
    TargetSettings, WarmUp,
};
use std::net::SocketAddr;
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
    pub(super) ease: EaseOut,
    pub(super) leaving: bool,
    pub(super) name: TargetName,
    pub(super) pace: TargetPace,
    pub(super) slots: u32,
    pub(super) warm: WarmUp,
}

impl PoolTarget {
    pub(super) fn new(name: TargetName, settings: &TargetSettings) -> Self {
        Self {
            address: settings.address,
            backoff: TargetBackoff::default(),
            busy: 0,
            classes: Vec::new(),
            correction: LoadCorrection::default(),
            drained: false,
            ease: EaseOut::default(),
            leaving: false,
            name,
            pace: TargetPace::default(),
            slots: settings.slots,
            warm: WarmUp::default(),
        }
    }

    /// Takes changed settings; a target that comes back from a drain is cold.
    pub(super) fn update(&mut self, settings: &TargetSettings, drained: bool) {
        if self.drained && !drained {
            self.warm.chill();
            self.pace.forget();
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
        if !self.is_in_service() || self.ease.is_out() || self.backoff.is_closed(now) {
            return 0;
        }
        let known = self.slots.saturating_sub(self.correction.foreign(now)).max(1);
        let limit = self.warm.limit(now, self.slots).min(known);
        if self.is_in_grace(now, grace) { limit.min(self.slots.div_ceil(2)) } else { limit }
    }

    /// Whether what a former owner left at the target isn't known yet.
    fn is_in_grace(&self, now: Instant, grace: Option<Instant>) -> bool {
        let Some(end) = grace.filter(|end| now < *end) else { return false };
        let start = end - super::TargetPool::GRACE;
        self.correction.reported().is_none_or(|at| at < start)
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
            pace: self.pace.factor(),
            slots: self.slots,
        })
    }

    /// Whether the target waits for a trial request and could take it.
    pub(super) fn wants_trial(&self, now: Instant) -> bool {
        let open = self.is_in_service() && !self.backoff.is_closed(now);
        open && self.ease.is_trial_due(now) && self.busy < self.slots
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

    pub(super) fn take_report(&mut self, now: Instant, report: LoadReport) {
        if self.leaving && !report.leaving {
            self.warm.chill();
        }
        self.leaving = report.leaving;
        self.correction.take_report(now, report, self.busy);
    }
}
