//! The flows: one straight async function for each life.

mod ask_lease;
mod attempt;
mod backoff;
mod borrow_room;
mod call;
mod poll_targets;
mod refusal;
mod renew_room;
mod renew_shares;
mod route_request;
mod run_entry;
mod run_in_pool;
mod serve_request;
mod talk_to_peer;
mod watch_roster;
mod watch_settings;
mod watch_vms;

pub use self::{
    attempt::{Answered, Attempt, AttemptError, Sent, Unsent},
    backoff::Backoff,
    call::{Call, Origin},
    poll_targets::poll_targets,
    refusal::Refusal,
    renew_room::renew_room,
    renew_shares::renew_shares,
    run_entry::run_entry,
    serve_request::{HOP_HEADER, OUTCOME_HEADER, TRACE_HEADER, serve_request},
    talk_to_peer::talk_to_peer,
    watch_roster::watch_roster,
    watch_settings::watch_settings,
    watch_vms::{tell_all, watch_vms},
};
