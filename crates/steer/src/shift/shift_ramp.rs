//! The ramp of one traffic shift on one VM.

use super::{HoldReason, ShiftObservations, ShiftPhase};
use crate::ShiftSettings;
use std::time::Duration;
use tokio::time::Instant;

/// The ramp of one traffic shift. The shifted share grows at a bounded rate, holds while the
/// receiving region is cold or full, and shrinks while shifted requests fail or are slow.
#[derive(Clone, Debug)]
pub struct ShiftRamp {
    /// Sum of the shares of past requests, minus the shifted requests; at 1 one more is shifted.
    credit: f64,
    moving: f64,
    phase: ShiftPhase,
    last_step: Instant,
    /// When a reason to roll back was last observed.
    last_rollback: Option<Instant>,
}

impl ShiftRamp {
    /// Maximum time credited to one step, so that the share does not jump after the VM was paused.
    const MAX_STEP: Duration = Duration::from_millis(500);
    /// Time in which the whole share is rolled back.
    const ROLLBACK_TIME: Duration = Duration::from_secs(2);
    /// Time without a reason to roll back after which the share grows again.
    const RECOVERY_TIME: Duration = Duration::from_secs(5);

    /// Creates a ramp with a share of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            credit: 0.0,
            moving: 0.0,
            phase: ShiftPhase::Waiting,
            last_step: now,
            last_rollback: None,
        }
    }

    /// Returns the share of traffic that is shifted now.
    pub fn moving(&self) -> f64 {
        self.moving
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShiftPhase {
        self.phase
    }

    /// Advances the ramp to `now` and returns the phase if it changed.
    pub fn step(
        &mut self,
        settings: &ShiftSettings,
        started: bool,
        observations: &ShiftObservations,
        now: Instant,
    ) -> Option<ShiftPhase> {
        let elapsed = now.saturating_duration_since(self.last_step).min(Self::MAX_STEP);
        self.last_step = now;
        let phase = self.next_phase(settings, started, observations.reason(), now);
        let fraction = |whole: Duration| elapsed.as_secs_f64() / whole.as_secs_f64().max(0.001);
        match phase {
            ShiftPhase::Ramping => {
                let ramp = Duration::from_secs(u64::from(settings.ramp_s));
                let grown = self.moving + settings.share * fraction(ramp);
                self.moving = grown.min(settings.share);
            }
            ShiftPhase::TurningBack(_) => {
                let shrunk = self.moving - settings.share * fraction(Self::ROLLBACK_TIME);
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
            && reason.rolls_back()
        {
            self.last_rollback = Some(now);
            return ShiftPhase::TurningBack(reason);
        }
        let recovered = |at: Instant| now.saturating_duration_since(at) >= Self::RECOVERY_TIME;
        if let ShiftPhase::TurningBack(previous) = self.phase
            && !self.last_rollback.is_none_or(recovered)
        {
            return ShiftPhase::TurningBack(previous);
        }
        match reason {
            Some(reason) => ShiftPhase::Paused(reason),
            None if self.moving >= settings.share => ShiftPhase::Reached,
            None => ShiftPhase::Ramping,
        }
    }

    /// Returns whether the next request of the service is shifted. Shifted requests are spread
    /// evenly.
    pub fn shifts_next(&mut self) -> bool {
        self.credit += self.moving;
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
