//! What entry VMs say to each other about leases.

use crate::{PoolKey, RegionName, ServiceName, VmName};
use derive_more::Display;

/// An allowance that the entry VMs of one region divide among themselves.
///
/// ```
/// let key = steer::ShareKey::Link { from: "porto".into(), to: "faro".into() };
/// assert_eq!(key.to_string(), "link porto > faro");
/// assert_eq!(key.from().as_str(), "porto");
/// ```
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShareKey {
    /// Bytes a second from one region to another.
    #[display("link {from} > {to}")]
    Link {
        /// Region that sends.
        from: RegionName,
        /// Region that receives.
        to: RegionName,
    },
    /// Requests a second of a traffic shift.
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
    /// The region whose entry VMs divide the allowance.
    pub fn from(&self) -> &RegionName {
        match self {
            Self::Link { from, .. } | Self::Shift { from, .. } => from,
        }
    }

    /// The region that receives.
    pub fn to(&self) -> &RegionName {
        match self {
            Self::Link { to, .. } | Self::Shift { to, .. } => to,
        }
    }
}

/// What a lease is asked for.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum LeaseItem {
    /// Slots of a pool, from its owner.
    #[display("room {_0}")]
    Room(PoolKey),
    /// A part of an allowance, from the region's coordinator.
    #[display("share {_0}")]
    Share(ShareKey),
    /// The vote for the coordinator of the voter's region.
    #[display("vote")]
    Vote,
}

/// The process that holds a lease. A replacement under the same name is another holder.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{vm}/{incarnation}")]
pub struct LeaseHolder {
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Name of the VM.
    pub vm: VmName,
}

/// Asks for a lease, or renews it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseAsk {
    /// How much the holder wants; 0 gives back what it holds.
    pub amount: u64,
    /// Who asks.
    pub holder: LeaseHolder,
    /// What for.
    pub item: LeaseItem,
}

/// What was granted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeaseGrant {
    /// How much; 0 where nothing is granted.
    pub amount: u64,
    /// Number of the lease at its grantor.
    pub id: u64,
    /// How long the lease holds, from the time it was asked for.
    pub term_ms: u64,
}
