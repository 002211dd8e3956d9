//! Fake ports with seeded random faults, and the history that they record.

mod faulty_targets;
mod history;
mod lossy_peers;
mod lossy_platform;
mod promise_simulation;

pub(crate) use self::{
    history::{GuaranteeViolation, ObservedReply},
    lossy_platform::LossyPlatform,
    promise_simulation::{Faults, PromiseSimulation},
};
