//! What a VM tells about a shift.

use crate::{RegionName, ServiceName};
use derive_more::Display;

/// Why a shift does not go forward.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum HoldReason {
    /// Targets of the receiving region are still warming up.
    #[display("the receiving region is cold")]
    Cold,
    /// Requests that were shifted fail more often than the bound.
    #[display("shifted requests fail")]
    Failing,
    /// The receiving region grants no room.
    #[display("the receiving region is full")]
    Full,
    /// Requests that were shifted take much longer than at home.
    #[display("shifted requests are slow")]
    Slow,
}

impl HoldReason {
    /// Tells whether the receiving region suffers, so that traffic goes back.
    ///
    /// ```
    /// use steer::HoldReason;
    /// assert!(HoldReason::Failing.turns_back());
    /// assert!(!HoldReason::Full.turns_back());
    /// ```
    pub fn turns_back(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }
}

/// Where a shift stands.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ShiftPhase {
    /// The share stays where it is.
    #[display("paused: {_0}")]
    Paused(HoldReason),
    /// The share grows.
    #[display("ramping")]
    Ramping,
    /// The whole share moves.
    #[display("reached")]
    Reached,
    /// The share shrinks.
    #[display("turning back: {_0}")]
    TurningBack(HoldReason),
    /// The start is still to come.
    #[display("waiting")]
    Waiting,
}

impl ShiftPhase {
    /// Tells whether the receiving side holds the shift up.
    ///
    /// ```
    /// use steer::{ShiftPhase, HoldReason};
    /// assert!(ShiftPhase::Paused(HoldReason::Full).is_trouble());
    /// assert!(!ShiftPhase::Ramping.is_trouble());
    /// ```
    pub fn is_trouble(self) -> bool {
        matches!(self, Self::Paused(_) | Self::TurningBack(_))
    }
}

/// What this VM does for a shift now.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftStatus {
    /// Most requests a second that this VM may move under its lease.
    pub cap: u64,
    /// Region that the traffic leaves.
    pub from: RegionName,
    /// Share of the region's traffic that moves now.
    pub moving: f64,
    /// Where the shift stands.
    pub phase: ShiftPhase,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Share that moves in the end.
    pub share: f64,
    /// Region that receives the traffic.
    pub to: RegionName,
    /// Requests that this VM moved in the last second.
    pub used: u64,
}
