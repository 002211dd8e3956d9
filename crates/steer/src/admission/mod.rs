//! Which waiting request gets the next slot, and which is refused.

mod admit_error;
mod class_bound;
mod fair_queue;
mod interactive_reserve;
mod member_weights;
mod queue_bound;
mod waiting_line;

pub use self::{
    admit_error::AdmitError,
    class_bound::{class_bound, spare_reserve},
    fair_queue::FairQueue,
    interactive_reserve::InteractiveReserve,
    member_weights::MemberWeights,
    queue_bound::QueueBound,
    waiting_line::{Room, WaitingLine},
};
