//! A request's place at a target.

use super::{LoadSample, TargetBoard, TargetRecord, target_board::Place};
use std::sync::Arc;
use tokio::time::Instant;

/// Counts a request at its target until it is dropped.
#[derive(Debug)]
pub struct Seat {
    begun: Instant,
    board: Arc<TargetBoard>,
    /// Requests at the target when this one came, in parts of its slots; 1 at least.
    crowd: f64,
    place: Place,
    target: TargetRecord,
}

impl Seat {
    pub(super) fn new(
        board: Arc<TargetBoard>,
        place: Place,
        target: TargetRecord,
        crowd: f64,
    ) -> Self {
        Self { begun: Instant::now(), board, crowd, place, target }
    }

    /// The target.
    pub fn target(&self) -> &TargetRecord {
        &self.target
    }

    /// Requests at the target when this one came, in parts of its slots; 1 at least.
    pub fn crowd(&self) -> f64 {
        self.crowd
    }

    /// Notes that the target has run the request: what it took tells how long work takes there.
    pub fn note_work(&self) {
        self.board.note_work(&self.place, self.begun.elapsed().div_f64(self.crowd));
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
