//! The flows: one sequential async function for each request, peer and background task.

mod answer_from_record;
mod attempt;
mod backoff;
mod call;
mod delivered_body;
mod exchange_with_peer;
mod follow_registry;
mod follow_timing;
mod followers;
mod forward_log;
mod forward_request;
mod lease_slot;
mod poll_targets;
mod poll_upstreams;
mod recorded_body;
mod refusal;
mod renew_shares;
mod renew_slot_leases;
mod request_lease;
mod request_source;
mod route_request;
mod run_entry;
mod run_in_pool;
mod run_watch;
mod send_guard;
mod send_hellos;
mod serve_request;
mod share_suspects;
mod watch_settings;
mod watch_vms;
mod watch_voters;

pub use self::{
    answer_from_record::REPLAYED_HEADER,
    attempt::{Answered, Attempt, AttemptError, Cleared, Sent, Unsent},
    backoff::Backoff,
    call::{Call, Origin},
    exchange_with_peer::exchange_with_peer,
    follow_registry::{Follower, StoreRecoveries, follow_registry},
    follow_timing::{ChangeLimits, FollowTiming},
    followers::{ConfigurationFollower, EvacuationFollower, TargetFollower, VmFollower},
    forward_request::forward_request,
    poll_targets::poll_targets,
    poll_upstreams::poll_upstreams,
    refusal::Refusal,
    renew_shares::renew_shares,
    renew_slot_leases::renew_slot_leases,
    run_entry::{StopLimits, drain_and_stop, run_entry},
    send_hellos::send_hellos,
    serve_request::{
        ENTRY_VM_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, TRACE_HEADER, serve_request,
    },
    share_suspects::share_suspects,
    watch_settings::watch_settings,
    watch_vms::{announce_to_peers, watch_vms},
    watch_voters::watch_voters,
};
