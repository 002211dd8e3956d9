//! Placement: selects the target in the fleet that runs a request.

mod distance;
mod object_hash;
mod placement_error;
mod placement_guard;
mod placement_query;
mod shift_guard;
mod start_window;
mod target_health;
mod target_load;
mod target_record;
mod target_report;
mod target_state;
mod target_table;
mod warm_objects;
mod work_time;

pub use self::{
    distance::Distance,
    object_hash::ObjectHash,
    placement_error::PlacementError,
    placement_guard::PlacementGuard,
    placement_query::PlacementQuery,
    shift_guard::ShiftGuard,
    start_window::StartWindow,
    target_health::TargetHealth,
    target_load::TargetLoad,
    target_record::TargetRecord,
    target_report::{LoadSample, TargetIdentity, TargetReport, Verdict},
    target_table::{PlacementLimits, TargetTable},
    warm_objects::WarmObjects,
    work_time::WorkTime,
};
