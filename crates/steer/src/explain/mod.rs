//! Explanations of routing decisions.

mod explain_error;
mod explain_request;
mod explanation;

pub use self::{
    explain_error::ExplainError,
    explain_request::{ExplainQuery, KnownPool, explain_request},
    explanation::{ClassReason, Explanation, HomeReason, ShiftReason, ZoneReason, ZoneVerdict},
};
