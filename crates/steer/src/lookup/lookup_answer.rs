//! The answer to a lookup.

use crate::{AvailabilityZoneName, VmName};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use xxhash_rust::xxh3::Xxh3;

/// An entry VM that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupVm {
    /// Address for requests.
    pub address: SocketAddr,
    /// Name of the VM.
    pub name: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZoneName,
}

/// Entry VMs in the order in which a caller should try them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupAnswer {
    /// How long a caller may cache the answer.
    pub max_age: Duration,
    /// The VMs, best first.
    pub vms: Vec<LookupVm>,
}

impl LookupAnswer {
    /// Maximum number of VMs in an answer.
    pub const MAX_VMS: usize = 16;

    /// Returns an entity tag that changes with the list.
    ///
    /// ```
    /// use std::time::Duration;
    /// let answer = steer::LookupAnswer { max_age: Duration::from_secs(5), vms: vec![] };
    /// assert_eq!(answer.etag(), answer.clone().etag());
    /// ```
    pub fn etag(&self) -> u64 {
        let mut hash = Xxh3::new();
        for vm in &self.vms {
            hash.update(vm.name.as_str().as_bytes());
            match vm.address.ip() {
                IpAddr::V4(v4) => hash.update(&v4.octets()),
                IpAddr::V6(v6) => hash.update(&v6.octets()),
            }
            hash.update(&vm.address.port().to_le_bytes());
        }
        hash.digest()
    }
}
