//! The kinds of name, one marker type each, so that two kinds can't be mixed up.

use super::Name;

/// Marks the name of an availability zone.
#[derive(Debug)]
pub enum AvailabilityZoneKind {}
/// Marks the name of a request class.
#[derive(Debug)]
pub enum ClassKind {}
/// Marks the name of a fleet.
#[derive(Debug)]
pub enum FleetKind {}
/// Marks the name of a member, the tenant that fairness is counted for.
#[derive(Debug)]
pub enum MemberKind {}
/// Marks the name of a region.
#[derive(Debug)]
pub enum RegionKind {}
/// Marks the name of a route.
#[derive(Debug)]
pub enum RouteKind {}
/// Marks the name of a service.
#[derive(Debug)]
pub enum ServiceKind {}
/// Marks the name of a target.
#[derive(Debug)]
pub enum TargetKind {}
/// Marks the name of a team.
#[derive(Debug)]
pub enum TeamKind {}
/// Marks the name of a VM.
#[derive(Debug)]
pub enum VmKind {}

/// Name of an availability zone.
pub type AvailabilityZoneName = Name<AvailabilityZoneKind>;
/// Name of a request class.
pub type ClassName = Name<ClassKind>;
/// Name of a fleet.
pub type FleetName = Name<FleetKind>;
/// Name of a member.
pub type MemberName = Name<MemberKind>;
/// Name of a region.
pub type RegionName = Name<RegionKind>;
/// Name of a route.
pub type RouteName = Name<RouteKind>;
/// Name of a service.
pub type ServiceName = Name<ServiceKind>;
/// Name of a target.
pub type TargetName = Name<TargetKind>;
/// Name of a team.
pub type TeamName = Name<TeamKind>;
/// Name of a VM.
pub type VmName = Name<VmKind>;
