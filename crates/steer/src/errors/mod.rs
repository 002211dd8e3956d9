//! The error kinds and the response to each.

mod answer;
mod error_kind;
mod outcome;

pub use self::{answer::Answer, error_kind::ErrorKind, outcome::Outcome};
