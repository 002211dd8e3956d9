//! Stand-ins for what the system talks to, one file each.

mod link;
mod platform;
mod target;

pub use self::{
    link::{LinkStandIn, RelaySwitch},
    platform::PlatformStandIn,
    target::{RunRecord, TargetControls, TargetStandIn},
};
