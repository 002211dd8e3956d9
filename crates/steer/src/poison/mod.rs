//! Detection of poison requests, which crash the targets that run them.

mod crash_news;
mod crash_table;
mod poison_detector;
mod poison_table;
mod quarantine;
mod suspect;
mod suspect_runs;

pub use self::{
    crash_news::CrashNews,
    crash_table::CrashTable,
    poison_detector::{PoisonDetector, SuspectGuard},
    poison_table::PoisonTable,
    quarantine::{CrashReport, Quarantine},
    suspect::Suspect,
    suspect_runs::RunGuard,
};
