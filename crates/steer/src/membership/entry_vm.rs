//! Identity and addresses of an entry VM.

use crate::{AvailabilityZoneName, FleetName, RegionName, VmName};
use std::net::SocketAddr;

/// The addresses at which an entry VM listens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct VmAddresses {
    /// Address for requests and lookups of callers.
    pub callers: SocketAddr,
    /// Address for requests that peers forward.
    pub handoff: SocketAddr,
    /// Address of the operators' status API.
    pub operators: SocketAddr,
    /// Address for control messages of peers.
    pub peers: SocketAddr,
}

/// Identity of an entry VM. A replacement with the same name has a higher incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Addresses at which it listens.
    pub addresses: VmAddresses,
    /// The fleet that it belongs to.
    pub fleet: FleetName,
    /// Start time of the process in microseconds; each later start has a higher one.
    pub incarnation: u64,
    /// Its name.
    pub name: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: AvailabilityZoneName,
}
