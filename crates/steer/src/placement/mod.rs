//! Placement: selects the target in the fleet that runs a request.

mod cached_objects;
mod distance;
mod object_hash;
mod placement_error;
mod placement_guard;
mod placement_query;
mod send_window;
mod shift_guard;
mod target_health;
mod target_load;
mod target_record;
mod target_report;
mod target_state;
mod target_table;
mod work_time;

pub use self::{
    cached_objects::CachedObjects,
    distance::Distance,
    object_hash::ObjectHash,
    placement_error::PlacementError,
    placement_guard::PlacementGuard,
    placement_query::PlacementQuery,
    send_window::SendWindow,
    shift_guard::ShiftGuard,
    target_health::TargetHealth,
    target_load::TargetLoad,
    target_record::TargetRecord,
    target_report::{LoadSample, TargetIdentity, TargetOutcome, TargetReport},
    target_table::{PlacementLimits, TargetTable},
    work_time::WorkTime,
};
