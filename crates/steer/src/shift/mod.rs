//! Gradual traffic shifts between regions.

mod shift_controller;
mod shift_observations;
mod shift_ramp;
mod shift_status;

pub use self::{
    shift_controller::ShiftController,
    shift_observations::{OutcomeWindow, ShiftObservations},
    shift_ramp::ShiftRamp,
    shift_status::{HoldReason, ShiftPhase, ShiftStatus},
};
