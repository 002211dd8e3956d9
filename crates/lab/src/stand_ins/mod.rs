//! Stand-ins for outside systems: network links, the platform, the object store and targets.

mod link;
mod object_store;
mod platform;
mod platform_faults;
mod platform_store;
mod target;

pub use self::{
    link::{LinkStandIn, RelaySwitch},
    object_store::{ObjectStore, StoreFault},
    platform::PlatformStandIn,
    platform_faults::PlatformFaults,
    target::{RunRecord, TargetControls, TargetStandIn},
};
