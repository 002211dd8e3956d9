//! An entry VM as the fleet knows it.

use crate::{AvailabilityZoneName, RegionName, VmName};
use std::net::SocketAddr;

/// Who an entry VM is and where it listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmRecord {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Processor that the VM has, in thousandths of a core.
    pub capacity: u32,
    /// Start of the process, in milliseconds of the Unix epoch.
    pub incarnation: u64,
    /// Name of the VM.
    pub name: VmName,
    /// Address for other VMs.
    pub peers: SocketAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneName,
}
