//! Simulated callers, targets and operator, with the wire names of the users' platform.

mod callers;
mod objects;
mod readiness;
mod target;

pub use self::{callers::run_caller, target::SoakTarget};
pub(crate) use self::{
    objects::{configuration, registration},
    readiness::wait_ready,
};
