//! The state that all requests and flows of an entry VM share when it sends straight to targets.

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
