//! Which target of a pool runs a request.

mod target_choice;

pub use self::target_choice::choose_target;
