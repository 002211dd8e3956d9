//! The state that requests and flows share on an entry VM that sends directly to targets.

mod caller_request;
mod log_budget;
mod router;
mod router_parts;

pub use self::{
    caller_request::CallerRequest,
    log_budget::LogBudget,
    router::Router,
    router_parts::{RouterParts, RouterPorts},
};
