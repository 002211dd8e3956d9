//! Callers, targets and the operator, in the words of the users' platform.

mod callers;
mod objects;
mod readiness;
mod target;

pub use self::{callers::call_for_ever, target::SoakTarget};
pub(crate) use self::{
    objects::{configuration, registration},
    readiness::wait_ready,
};
