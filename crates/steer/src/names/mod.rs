//! Shared immutable names and client blocks.

mod block;
mod kinds;
mod name;

pub use self::{
    block::ClientBlock,
    kinds::{
        AvailabilityZoneKind, AvailabilityZoneName, ClassKind, ClassName, FleetKind, FleetName,
        MemberKind, MemberName, RegionKind, RegionName, RouteKind, RouteName, ServiceKind,
        ServiceName, TargetKind, TargetName, TeamKind, TeamName, VmKind, VmName,
    },
    name::Name,
};
