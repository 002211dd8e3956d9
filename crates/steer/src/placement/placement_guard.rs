//! Accounting of a request at its target.

use super::{
    Belief, LimitNotice, LoadSample, PauseRequest, SendCheck, TargetOutcome, TargetRecord,
    TargetTable, target_table_state::TargetKey,
};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// RAII guard that counts a request against its target's load until it is dropped.
#[derive(Debug)]
pub struct PlacementGuard {
    started: Instant,
    table: Arc<TargetTable>,
    /// Requests at the target on arrival, this one included, divided by its slots; at least 1.
    oversubscription: f64,
    key: TargetKey,
    returned: Option<Belief>,
    target: TargetRecord,
}

impl PlacementGuard {
    pub(super) fn new(
        table: Arc<TargetTable>,
        key: TargetKey,
        target: TargetRecord,
        oversubscription: f64,
    ) -> Self {
        Self { started: Instant::now(), table, oversubscription, key, returned: None, target }
    }

    pub(super) fn returned(mut self, pause: Option<Belief>) -> Self {
        self.returned = pause;
        self
    }

    /// Returns the pause that has just ended, if this is the first request after it.
    pub fn ended_pause(&self) -> Option<Belief> {
        self.returned
    }

    /// Returns the check whether the request may still be sent when a connection is open.
    pub fn send_check(&self) -> SendCheck {
        SendCheck::new(Arc::clone(&self.table), self.key.clone(), self.started)
    }

    /// Returns the selected target.
    pub fn target(&self) -> &TargetRecord {
        &self.target
    }

    /// Requests at the target on arrival, this one included, divided by its slots; at least 1.
    pub fn oversubscription(&self) -> f64 {
        self.oversubscription
    }

    /// Records that the target ran the request. The elapsed time, divided by the oversubscription on
    /// arrival, is a sample of the service's work time.
    pub fn record_work(&self) {
        self.table.record_work(&self.key, self.started.elapsed().div_f64(self.oversubscription));
    }

    /// Records the load that the target reported in its response, and whether the response was
    /// a failure.
    pub fn record_response(&self, load: Option<LoadSample>, failed: bool) {
        self.table.record_response(&self.key, load, failed);
    }

    /// Records that the response says that its target leaves; returns whether that is news. The
    /// incarnation gets no more requests from this VM. If another target responded, that one leaves,
    /// and the address serves neither of them.
    pub fn record_leaving(&self, outcome: TargetOutcome) -> bool {
        if outcome == TargetOutcome::Misdirected {
            self.table.record_address_leaving(self.target.address);
        }
        self.table.record_leaving(&self.key)
    }

    /// Records that the target refused the request and asked for a pause. Returns the length of the
    /// pause if one starts.
    pub fn record_pause(&self, pause: PauseRequest) -> Option<Duration> {
        self.table.record_pause(&self.key, pause)
    }

    /// Records what the response says about the rate of requests that its target takes. Returns
    /// whether a limit begins or ends. Only a response to a request that the target ran ends one: a
    /// refusal need not repeat it. A response of another target says nothing about this one.
    pub fn record_limit(&self, limit: LimitNotice, outcome: TargetOutcome) -> bool {
        let ignored = match outcome {
            TargetOutcome::Misdirected => true,
            TargetOutcome::NotRun => limit == LimitNotice::Absent,
            TargetOutcome::Ran => false,
        };
        !ignored && self.table.record_limit(&self.key, limit)
    }

    /// Records that the request was not sent: its target was lost, unless the request was withheld.
    /// Returns whether the target was lost.
    pub fn record_unsent(&self) -> bool {
        let lost = self.send_check().confirm().is_ok();
        self.table.put_back_limit(&self.key, self.started);
        if lost {
            self.record_lost();
        }
        lost
    }

    /// Records that the connection could not be established or was lost before a response.
    pub fn record_lost(&self) {
        self.table.record_lost(&self.key);
    }

    /// Records that a different target responded at this address.
    pub fn record_misdirected(&self) {
        self.table.record_misdirected(&self.key);
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.table.release(&self.key);
    }
}
