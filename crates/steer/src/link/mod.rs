//! Links between regions: bodies that cross one are paced under its cap.

mod link_pacer;
mod paced_body;

pub use self::{link_pacer::LinkPacer, paced_body::pace_body};
