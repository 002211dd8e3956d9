//! Gradual traffic shifts between regions.

mod shift_desk;
mod shift_run;
mod shift_signs;
mod shift_status;

pub use self::{
    shift_desk::ShiftDesk,
    shift_run::ShiftRun,
    shift_signs::{ShiftSigns, Tally},
    shift_status::{HoldReason, ShiftPhase, ShiftStatus},
};
