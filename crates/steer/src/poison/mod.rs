//! Detection of poison requests, which crash the targets that run them.

mod poison_detector;
mod poison_table;
mod suspect;

pub use self::{
    poison_detector::{PoisonDetector, SuspectGuard},
    poison_table::PoisonTable,
    suspect::Suspect,
};
