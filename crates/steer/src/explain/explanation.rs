//! The parts of an explanation.

use super::KnownPool;
use crate::{
    AvailabilityZoneName, ClassName, ClientBlock, DrainSettings, LookupVm, RegionName, RepeatRule,
    ServiceName, ShiftSettings, ShiftStatus, TeamName, Urgency,
};
use derive_more::Display;

/// How the home region of a client address block was determined.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HomeReason {
    /// The longest configured prefix that contains the block; `None` if there is none and the home
    /// region defaults to the region of the responding VM.
    pub prefix: Option<ClientBlock>,
    /// The home region.
    pub region: RegionName,
}

/// The settings of a class that affect routing.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassReason {
    /// Maximum time from arrival to the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Name of the class.
    pub name: ClassName,
    /// Whether a request may be retried.
    pub repeat: RepeatRule,
    /// Maximum share of a target's slots.
    pub slot_share: f64,
    /// Priority of the class.
    pub urgency: Urgency,
}

/// A traffic shift out of the region where the request arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftReason {
    /// State of the shift at the responding VM; `None` if the request arrives in another region.
    pub live: Option<ShiftStatus>,
    /// Scheduled share of the region's traffic, from 0 to 1, ignoring any hold on the ramp.
    pub now: f64,
    /// Settings of the shift.
    pub shift: ShiftSettings,
}

/// The result of considering an availability zone.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ZoneVerdict {
    /// Requests are sent to this zone.
    #[display("chosen")]
    Chosen,
    /// All of its targets are drained.
    #[display("drained")]
    Drained,
    /// Has free slots, but another zone comes first.
    #[display("next choice")]
    NextChoice,
    /// No serving entry VM is known to own the zone's pool.
    #[display("no owner")]
    NoOwner,
    /// All slots are busy, so a request would have to wait.
    #[display("no free slot")]
    NoRoom,
}

/// How an availability zone with targets of the service was considered.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneReason {
    /// One-way delay from the arrival zone in milliseconds, if a link is configured.
    pub delay_ms: Option<f64>,
    /// Drains that affect the zone's targets.
    pub drains: Vec<DrainSettings>,
    /// Owner and free slots of the pool.
    pub pool: Option<KnownPool>,
    /// Region of the zone.
    pub region: Option<RegionName>,
    /// Number of targets that aren't drained.
    pub serving: usize,
    /// Number of all targets.
    pub targets: usize,
    /// Result for this zone.
    pub verdict: ZoneVerdict,
    /// Name of the zone.
    pub zone: AvailabilityZoneName,
}

/// How a request would be routed now, with the reasons.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Availability zone where the request arrives.
    pub arrival: AvailabilityZoneName,
    /// Client address block of the request.
    pub block: ClientBlock,
    /// The requested class, or all classes.
    pub classes: Vec<ClassReason>,
    /// The block's home region.
    pub home: HomeReason,
    /// Region where the request arrives. Its shares and shifts apply, even if it isn't the home.
    pub region: RegionName,
    /// Requested service.
    pub service: ServiceName,
    /// Configured split of the arrival region's traffic among regions.
    pub shares: Vec<(RegionName, f64)>,
    /// Traffic shifts out of the arrival region.
    pub shifts: Vec<ShiftReason>,
    /// Team that owns the service.
    pub team: TeamName,
    /// Entry VMs for the block, in the order of a lookup.
    pub vms: Vec<LookupVm>,
    /// Zones in the order in which they are tried, followed by the drained zones.
    pub zones: Vec<ZoneReason>,
}

impl Explanation {
    /// Returns the zone that requests are sent to.
    pub fn chosen(&self) -> Option<&ZoneReason> {
        self.zones.iter().find(|zone| zone.verdict == ZoneVerdict::Chosen)
    }
}
