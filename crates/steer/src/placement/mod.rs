//! Placement: selects the target in the fleet that runs a request.

mod distance;
mod no_seat;
mod object_hash;
mod place_query;
mod seat;
mod shift_guard;
mod start_window;
mod target_board;
mod target_health;
mod target_load;
mod target_record;
mod target_report;
mod target_state;
mod warm_objects;
mod work_time;

pub use self::{
    distance::Distance,
    no_seat::NoSeat,
    object_hash::ObjectHash,
    place_query::PlaceQuery,
    seat::Seat,
    shift_guard::ShiftGuard,
    start_window::StartWindow,
    target_board::{BoardRules, TargetBoard},
    target_health::TargetHealth,
    target_load::TargetLoad,
    target_record::TargetRecord,
    target_report::{LoadSample, TargetIdentity, TargetReport, Verdict},
    warm_objects::WarmObjects,
    work_time::WorkTime,
};
