//! Shared immutable names and client blocks.

mod client_block;
mod kinds;
mod name;

pub use self::{
    client_block::ClientBlock,
    kinds::{
        AvailabilityZoneKind, AvailabilityZoneName, ClassKind, ClassName, FleetKind, FleetName,
        MemberKind, MemberName, RegionKind, RegionName, RouteKind, RouteName, ServiceKind,
        ServiceName, TargetKind, TargetName, TeamKind, TeamName, VmKind, VmName,
    },
    name::Name,
};
