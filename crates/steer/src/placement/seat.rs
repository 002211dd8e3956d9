//! Accounting of a request at its target.

use super::{LoadSample, TargetBoard, TargetRecord, target_board::TargetKey};
use std::sync::Arc;
use tokio::time::Instant;

/// RAII guard that counts a request against its target's load until it is dropped.
#[derive(Debug)]
pub struct Seat {
    started: Instant,
    board: Arc<TargetBoard>,
    /// Requests at the target on arrival, this one included, divided by its slots; at least 1.
    crowd: f64,
    key: TargetKey,
    target: TargetRecord,
}

impl Seat {
    pub(super) fn new(
        board: Arc<TargetBoard>,
        key: TargetKey,
        target: TargetRecord,
        crowd: f64,
    ) -> Self {
        Self { started: Instant::now(), board, crowd, key, target }
    }

    /// Returns the selected target.
    pub fn target(&self) -> &TargetRecord {
        &self.target
    }

    /// Requests at the target on arrival, this one included, divided by its slots; at least 1.
    pub fn crowd(&self) -> f64 {
        self.crowd
    }

    /// Records that the target ran the request. The elapsed time, divided by the crowding on
    /// arrival, is a sample of the service's work time.
    pub fn note_work(&self) {
        self.board.note_work(&self.key, self.started.elapsed().div_f64(self.crowd));
    }

    /// Records the load that the target reported in its response, and whether the response was
    /// a failure.
    pub fn note_answer(&self, load: Option<LoadSample>, failed: bool) {
        self.board.note_answer(&self.key, load, failed);
    }

    /// Records that the connection could not be established or was lost before a response.
    pub fn note_lost(&self) {
        self.board.note_lost(&self.key);
    }

    /// Records that a different target responded at this address.
    pub fn note_gone(&self) {
        self.board.note_gone(&self.key);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.board.release(&self.key);
    }
}
