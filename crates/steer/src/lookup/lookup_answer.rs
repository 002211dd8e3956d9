//! The answer to a look-up.

use crate::{AvailabilityZoneName, VmName};
use std::{net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

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
    /// A tag that changes when the list does.
    ///
    /// ```
    /// use std::time::Duration;
    /// let answer = steer::LookupAnswer { max_age: Duration::from_secs(5), vms: vec![] };
    /// assert_eq!(answer.tag(), answer.clone().tag());
    /// ```
    pub fn tag(&self) -> u64 {
        let names: Vec<String> =
            self.vms.iter().map(|vm| format!("{}={}", vm.name, vm.address)).collect();
        xxh3_64(names.join(",").as_bytes())
    }
}
