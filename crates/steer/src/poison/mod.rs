//! Detection of poison requests, which crash the targets that run them.

mod poison_table;
mod poison_watch;
mod suspect;

pub use self::{
    poison_table::PoisonTable,
    poison_watch::{Alone, PoisonWatch},
    suspect::Suspect,
};
