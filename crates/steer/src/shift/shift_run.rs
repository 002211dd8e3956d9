//! One shift as one VM carries it out.

use super::{HoldReason, ShiftPhase, ShiftSigns};
use crate::ShiftSettings;
use std::time::Duration;
use tokio::time::Instant;

/// The ramp of one shift: the share grows by a bounded step, stands still while the receiving
/// side is cold or full, and shrinks while it suffers.
#[derive(Clone, Debug)]
pub struct ShiftRun {
    credit: f64,
    moving: f64,
    phase: ShiftPhase,
    stepped: Instant,
    suffered: Option<Instant>,
}

impl ShiftRun {
    /// Longest time that counts as one step, so that a VM that was paused makes no leap.
    const LONGEST_STEP: Duration = Duration::from_millis(500);
    /// Time in which the whole share goes back.
    const BACK: Duration = Duration::from_secs(2);
    /// Time without suffering after which the share grows again.
    const CALM: Duration = Duration::from_secs(5);

    /// Makes a shift of which nothing moves yet.
    pub fn new(now: Instant) -> Self {
        Self { credit: 0.0, moving: 0.0, phase: ShiftPhase::Waiting, stepped: now, suffered: None }
    }

    /// Share that moves now.
    pub fn moving(&self) -> f64 {
        self.moving
    }

    /// Where the shift stands.
    pub fn phase(&self) -> ShiftPhase {
        self.phase
    }

    /// Takes a step along the ramp; gives the phase where it is a new one.
    pub fn step(
        &mut self,
        settings: &ShiftSettings,
        started: bool,
        signs: &ShiftSigns,
        now: Instant,
    ) -> Option<ShiftPhase> {
        let passed = now.saturating_duration_since(self.stepped).min(Self::LONGEST_STEP);
        self.stepped = now;
        let phase = self.next_phase(settings, started, signs.reason(), now);
        let part = |whole: Duration| passed.as_secs_f64() / whole.as_secs_f64().max(0.001);
        match phase {
            ShiftPhase::Ramping => {
                let ramp = Duration::from_secs(u64::from(settings.ramp_s));
                let grown = self.moving + settings.share * part(ramp);
                self.moving = grown.min(settings.share);
            }
            ShiftPhase::TurningBack(_) => {
                let shrunk = self.moving - settings.share * part(Self::BACK);
                self.moving = shrunk.max(0.0);
            }
            ShiftPhase::Waiting => self.moving = 0.0,
            ShiftPhase::Paused(_) | ShiftPhase::Reached => {
                self.moving = self.moving.min(settings.share);
            }
        }
        let changed = std::mem::replace(&mut self.phase, phase) != phase;
        changed.then_some(phase)
    }

    fn next_phase(
        &mut self,
        settings: &ShiftSettings,
        started: bool,
        reason: Option<HoldReason>,
        now: Instant,
    ) -> ShiftPhase {
        if !started {
            return ShiftPhase::Waiting;
        }
        if let Some(reason) = reason
            && reason.turns_back()
        {
            self.suffered = Some(now);
            return ShiftPhase::TurningBack(reason);
        }
        let calm = |at: Instant| now.saturating_duration_since(at) >= Self::CALM;
        if let ShiftPhase::TurningBack(earlier) = self.phase
            && !self.suffered.is_none_or(calm)
        {
            return ShiftPhase::TurningBack(earlier);
        }
        match reason {
            Some(reason) => ShiftPhase::Paused(reason),
            None if self.moving >= settings.share => ShiftPhase::Reached,
            None => ShiftPhase::Ramping,
        }
    }

    /// Tells whether the next request of the service moves, evenly by the share.
    pub fn picks_next(&mut self) -> bool {
        self.credit += self.moving;
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
