//! The closed list of error kinds and the answer that each one gives.

mod answer;
mod error_kind;
mod outcome;

pub use self::{answer::Answer, error_kind::ErrorKind, outcome::Outcome};
