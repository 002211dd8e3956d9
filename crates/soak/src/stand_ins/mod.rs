//! Simulated callers, targets and operator, with the wire names of the users' platform.

mod answer_style;
mod callers;
mod message;
mod objects;
mod pipelining_callers;
mod readiness;
mod target;

pub use self::{
    answer_style::AnswerStyle,
    callers::run_caller,
    pipelining_callers::run_pipelining_caller,
    target::{NamedLimit, SoakTarget},
};
pub(crate) use self::{
    objects::{configuration, registration},
    readiness::wait_ready,
};
