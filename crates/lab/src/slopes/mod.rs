//! Scaling measurements: how state, messages, time and memory grow with the size of a fleet.

mod control_slopes;
mod line_fit;
mod scale_fleet;
mod slope;
mod table_slopes;

pub use self::{
    line_fit::LineFit,
    slope::{Slope, run_slopes},
};
