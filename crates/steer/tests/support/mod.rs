//! Small fakes at the ports, which fail by a seed, and a history of what they saw.

#![allow(clippy::unwrap_used, reason = "a test may panic")]
#![allow(dead_code, reason = "each test file uses a part")]

mod fake_peers;
mod fake_platform;
mod fake_targets;
mod history;
mod world;

pub use self::{
    fake_platform::FakePlatform,
    history::{Breach, Told},
    world::{Faults, World},
};
