//! Fake ports that fail at random by a seed, and the history that they record.

mod fake_peers;
mod fake_platform;
mod fake_targets;
mod history;
mod world;

pub(crate) use self::{
    fake_platform::FakePlatform,
    history::{Reply, Violation},
    world::{Faults, World},
};
