//! Which target of a pool runs a request.

mod backoff;
mod class_times;
mod ease_out;
mod load_correction;
mod target_choice;
mod target_pace;
mod warm_up;

pub use self::{
    backoff::Backoff,
    class_times::ClassTimes,
    ease_out::EaseOut,
    load_correction::LoadCorrection,
    target_choice::{Candidate, choose_target},
    target_pace::{TargetPace, reference_pace},
    warm_up::WarmUp,
};
