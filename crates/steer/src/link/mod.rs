//! Links between regions: bodies sent across a link are paced to stay under its cap.

mod link_pacer;
mod paced_body;

pub use self::{link_pacer::LinkPacer, paced_body::pace_body};
