//! Which target of a pool runs a request.

mod class_times;
mod ease_out;
mod load_correction;
mod target_backoff;
mod target_choice;
mod target_pace;
mod warm_up;

pub use self::{
    class_times::ClassTimes,
    ease_out::EaseOut,
    load_correction::LoadCorrection,
    target_backoff::TargetBackoff,
    target_choice::{TargetCandidate, choose_target},
    target_pace::{TargetPace, reference_pace},
    warm_up::WarmUp,
};
