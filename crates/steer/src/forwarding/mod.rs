//! State of an entry VM that sends directly to targets, shared by its requests and flows.

mod caller_request;
mod crash_ports;
mod log_budget;
mod request_log;
mod router;
mod router_parts;

pub use self::{
    caller_request::CallerRequest,
    crash_ports::CrashPorts,
    log_budget::LogBudget,
    request_log::RequestLog,
    router::Router,
    router_parts::{RouterParts, RouterPorts},
};
