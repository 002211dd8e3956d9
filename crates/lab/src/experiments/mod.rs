//! Experiments: comparable runs whose results are checked against stated bounds.

mod bound;
mod catalogue;
mod experiment_result;
mod fault_experiments;
mod load_experiments;
mod plot;
mod shift_experiments;

pub use self::{
    bound::{Bound, Measure},
    catalogue::{EXPERIMENT_NAMES, ExperimentOptions, run_experiment},
    experiment_result::ExperimentResult,
};
