//! Status of a traffic shift as reported by a VM.

use crate::{RegionName, ServiceName};
use derive_more::Display;

/// Reason why a shift is paused or rolled back.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum HoldReason {
    /// Targets in the receiving region are still warming up.
    #[display("the receiving region is cold")]
    Cold,
    /// Shifted requests fail more often than the limit.
    #[display("shifted requests fail")]
    Failing,
    /// The receiving region grants no capacity.
    #[display("the receiving region is full")]
    Full,
    /// Shifted requests take much longer than those in the home region.
    #[display("shifted requests are slow")]
    Slow,
}

impl HoldReason {
    /// Returns whether the shift must be rolled back, rather than paused.
    ///
    /// ```
    /// use steer::HoldReason;
    /// assert!(HoldReason::Failing.rolls_back());
    /// assert!(!HoldReason::Full.rolls_back());
    /// ```
    pub fn rolls_back(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }
}

/// Phase of a shift.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ShiftPhase {
    /// The share is held at its current value.
    #[display("paused: {_0}")]
    Paused(HoldReason),
    /// The share grows.
    #[display("ramping")]
    Ramping,
    /// The configured share is shifted.
    #[display("reached")]
    Reached,
    /// The share shrinks.
    #[display("turning back: {_0}")]
    TurningBack(HoldReason),
    /// The configured start has not been reached.
    #[display("waiting")]
    Waiting,
}

impl ShiftPhase {
    /// Returns whether the receiving region prevents the share from growing.
    ///
    /// ```
    /// use steer::{ShiftPhase, HoldReason};
    /// assert!(ShiftPhase::Paused(HoldReason::Full).is_blocked());
    /// assert!(!ShiftPhase::Ramping.is_blocked());
    /// ```
    pub fn is_blocked(self) -> bool {
        matches!(self, Self::Paused(_) | Self::TurningBack(_))
    }
}

/// Current state of a shift on this VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftStatus {
    /// Maximum number of requests per second that this VM may shift under its lease.
    pub cap: u64,
    /// Region that the traffic leaves.
    pub from: RegionName,
    /// Share of the region's traffic that is shifted now.
    pub moving: f64,
    /// Current phase.
    pub phase: ShiftPhase,
    /// Service whose traffic is shifted.
    pub service: ServiceName,
    /// Configured share.
    pub share: f64,
    /// Region that receives the traffic.
    pub to: RegionName,
    /// Number of requests that this VM shifted in the last second.
    pub used: u64,
}
