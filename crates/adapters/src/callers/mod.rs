//! What callers see: answers, refusals and look-ups over HTTP.

mod caller_front;
mod problem_body;

pub(crate) use self::caller_front::answer_lookup;
pub use self::{
    caller_front::{LOOKUP_PATH, answer_caller, answer_hand_off},
    problem_body::to_response,
};
