//! Placement: selects the target in the fleet that runs a request.

mod belief;
mod cached_objects;
mod distance;
mod hold;
mod hold_summary;
mod limit_news;
mod object_hash;
mod placement_error;
mod placement_guard;
mod placement_query;
mod requested_limit;
mod requested_pause;
mod retired_targets;
mod send_check;
mod send_window;
mod shift_guard;
mod target_access;
mod target_health;
mod target_incarnation;
mod target_life;
mod target_load;
mod target_record;
mod target_report;
mod target_state;
mod target_table;
mod target_table_state;
mod work_time;

pub use self::{
    belief::{Belief, BeliefSource},
    cached_objects::CachedObjects,
    distance::Distance,
    hold::{Hold, HoldCause},
    limit_news::{LimitNews, LimitNewsLog},
    object_hash::ObjectHash,
    placement_error::PlacementError,
    placement_guard::PlacementGuard,
    placement_query::PlacementQuery,
    requested_limit::{LimitNotice, RequestedLimit},
    requested_pause::RequestedPause,
    send_check::SendCheck,
    send_window::SendWindow,
    shift_guard::ShiftGuard,
    target_access::TargetAccess,
    target_health::TargetHealth,
    target_incarnation::TargetIncarnation,
    target_life::{Accepting, Admission, Departing, TargetLife},
    target_load::TargetLoad,
    target_record::TargetRecord,
    target_report::{LoadSample, PauseRequest, TargetIdentity, TargetOutcome, TargetReport},
    target_table::{PlacementLimits, TargetTable},
    work_time::WorkTime,
};
