//! The flows: one straight async function for each life.

mod attempt;
mod backoff;
mod call;
mod poll_targets;
mod refusal;
mod route_request;
mod run_entry;
mod run_in_pool;
mod serve_request;
mod talk_to_peer;
mod watch_settings;
mod watch_vms;

pub use self::{
    attempt::{Answered, Attempt, AttemptError, Sent, Unsent},
    backoff::Backoff,
    call::{Call, Origin},
    poll_targets::poll_targets,
    refusal::Refusal,
    run_entry::run_entry,
    serve_request::{HOP_HEADER, OUTCOME_HEADER, TRACE_HEADER, serve_request},
    talk_to_peer::talk_to_peer,
    watch_settings::watch_settings,
    watch_vms::{tell_all, watch_vms},
};
