//! The HTTP interface for callers: responses, error responses and look-ups.

mod caller_handler;
mod lookup_handler;
mod problem_body;

pub(crate) use self::lookup_handler::handle_lookup;
pub use self::{
    caller_handler::{handle_caller, handle_forwarded},
    lookup_handler::LOOKUP_PATH,
    problem_body::to_response,
};
