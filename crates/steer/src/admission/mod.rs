//! Admission control: decides which waiting request gets the next slot, and which is refused.

mod admission_queue;
mod admit_error;
mod class_bound;
mod fair_queue;
mod interactive_reserve;
mod member_weights;
mod queue_bound;

pub use self::{
    admission_queue::{AdmissionQueue, QueueSpace},
    admit_error::AdmitError,
    class_bound::{class_bound, idle_reserve},
    fair_queue::FairQueue,
    interactive_reserve::InteractiveReserve,
    member_weights::MemberWeights,
    queue_bound::QueueBound,
};
