//! Fake ports with seeded random faults, and the history that they record.

mod fake_peers;
mod fake_platform;
mod fake_targets;
mod history;
mod simulation;

pub(crate) use self::{
    fake_platform::FakePlatform,
    history::{CallerReply, GuaranteeViolation},
    simulation::{Faults, Simulation},
};
