//! Load balancing: chooses the target of a pool for a request.

mod class_times;
mod load_correction;
mod outlier_ejection;
mod relative_latency;
mod slow_start;
mod target_backoff;
mod target_choice;

pub use self::{
    class_times::ClassTimes,
    load_correction::LoadCorrection,
    outlier_ejection::OutlierEjection,
    relative_latency::{RelativeLatency, reference_latency},
    slow_start::SlowStart,
    target_backoff::TargetBackoff,
    target_choice::{TargetCandidate, choose_target},
};
