//! The HTTP interface for callers: responses, error responses and look-ups.

mod caller_front;
mod lookup_front;
mod problem_body;

pub(crate) use self::lookup_front::answer_lookup;
pub use self::{
    caller_front::{answer_caller, answer_hand_off},
    lookup_front::LOOKUP_PATH,
    problem_body::to_response,
};
