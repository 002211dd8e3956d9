//! Messages about leases between entry VMs.

use crate::{PoolKey, RegionName, ServiceName, VmName};
use derive_more::Display;

/// A rate limit that the entry VMs of one region share.
///
/// ```
/// let key = steer::ShareKey::Link { from: "porto".into(), to: "faro".into() };
/// assert_eq!(key.to_string(), "link porto > faro");
/// assert_eq!(key.from().as_str(), "porto");
/// ```
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShareKey {
    /// Bytes per second sent from one region to another.
    #[display("link {from} > {to}")]
    Link {
        /// Region that sends.
        from: RegionName,
        /// Region that receives.
        to: RegionName,
    },
    /// Requests per second of a traffic shift.
    #[display("shift {service} {from} > {to}")]
    Shift {
        /// Region that the traffic leaves.
        from: RegionName,
        /// Service whose traffic moves.
        service: ServiceName,
        /// Region that receives the traffic.
        to: RegionName,
    },
}

impl ShareKey {
    /// Returns the sending region, whose entry VMs share the rate limit.
    pub fn from(&self) -> &RegionName {
        match self {
            Self::Link { from, .. } | Self::Shift { from, .. } => from,
        }
    }

    /// Returns the receiving region.
    pub fn to(&self) -> &RegionName {
        match self {
            Self::Link { to, .. } | Self::Shift { to, .. } => to,
        }
    }
}

/// The resource that a lease covers.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum LeaseItem {
    /// Slots of a pool, granted by its owner.
    #[display("room {_0}")]
    Room(PoolKey),
    /// Part of a rate limit, granted by the region's coordinator.
    #[display("share {_0}")]
    Share(ShareKey),
    /// A vote in the election of the coordinator of the voter's region.
    #[display("vote")]
    Vote,
}

/// The process that holds a lease. A replacement VM with the same name is a different holder.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{vm}/{incarnation}")]
pub struct LeaseHolder {
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Name of the VM.
    pub vm: VmName,
}

/// A request for a new or renewed lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseRequest {
    /// Requested amount; 0 returns the lease.
    pub amount: u64,
    /// The requesting process.
    pub holder: LeaseHolder,
    /// The requested resource.
    pub item: LeaseItem,
}

/// The reply to a lease request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Granted amount; 0 if the request was refused.
    pub amount: u64,
    /// Identifier of the lease, assigned by the grantor.
    pub id: u64,
    /// Duration of the lease in milliseconds, counted from when the request was sent.
    pub term_ms: u64,
}
