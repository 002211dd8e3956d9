//! Who an entry VM is.

use crate::{AvailabilityZoneName, FleetName, RegionName, VmName};
use std::net::SocketAddr;

/// The addresses at which an entry VM listens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct VmAddresses {
    /// Requests and look-ups of callers.
    pub callers: SocketAddr,
    /// Requests that peers hand over.
    pub handoff: SocketAddr,
    /// Status for operators.
    pub operators: SocketAddr,
    /// Messages of peers.
    pub peers: SocketAddr,
}

/// Who an entry VM is: a replacement under the same name has a higher incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// Where it listens.
    pub addresses: VmAddresses,
    /// Fleet that it belongs to.
    pub fleet: FleetName,
    /// Start time of the process in microseconds, higher for each later start.
    pub incarnation: u64,
    /// Its name.
    pub name: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: AvailabilityZoneName,
}
