//! Experiments: runs side by side, judged by stated bounds.

mod bound;
mod catalogue;
mod fault_experiments;
mod load_experiments;
mod outcome_report;
mod plot;
mod shift_experiments;

pub use self::{
    bound::{Bound, Measure},
    catalogue::{ExperimentOptions, NAMES, run_experiment},
    outcome_report::ExperimentResult,
};
