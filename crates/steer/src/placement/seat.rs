//! A request's place at a target.

use super::{LoadSample, TargetBoard, TargetRecord, target_board::Place};
use std::sync::Arc;

/// Counts a request at its target until it is dropped.
#[derive(Debug)]
pub struct Seat {
    board: Arc<TargetBoard>,
    place: Place,
    target: TargetRecord,
}

impl Seat {
    pub(super) fn new(board: Arc<TargetBoard>, place: Place, target: TargetRecord) -> Self {
        Self { board, place, target }
    }

    /// The target.
    pub fn target(&self) -> &TargetRecord {
        &self.target
    }

    /// Notes the target's load, as its answer told it, and whether the answer was a failure.
    pub fn note_answer(&self, load: Option<LoadSample>, failed: bool) {
        self.board.note_answer(&self.place, load, failed);
    }

    /// Notes that the connection failed or broke before an answer.
    pub fn note_lost(&self) {
        self.board.note_lost(&self.place);
    }

    /// Notes that another target answers at the address.
    pub fn note_gone(&self) {
        self.board.note_gone(&self.place);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.board.end(&self.place);
    }
}
