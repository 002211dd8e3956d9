//! Identity, location and addresses of an entry VM.

use crate::{AvailabilityZoneName, RegionName, VmName};
use std::net::SocketAddr;

/// Identity, location and addresses of an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmRecord {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// CPU capacity in thousandths of a core.
    pub capacity: u32,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Name of the VM.
    pub name: VmName,
    /// Address that other VMs connect to.
    pub peers: SocketAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneName,
}
