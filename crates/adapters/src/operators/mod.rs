//! What operators see.

mod operator_front;
mod status_view;

pub use self::{operator_front::answer_operator, status_view::StatusView};
