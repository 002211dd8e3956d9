//! Small fakes at the ports, which fail by a seed, and a history of what they saw.

mod fake_peers;
mod fake_platform;
mod fake_targets;
mod history;
mod world;

pub(crate) use self::{
    fake_platform::FakePlatform,
    history::{Breach, Told},
    world::{Faults, World},
};
