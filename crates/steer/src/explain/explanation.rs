//! An explanation, reason by reason.

use super::KnownPool;
use crate::{
    AvailabilityZoneName, ClassName, ClientBlock, DrainSettings, LookupVm, RegionName, RepeatRule,
    ServiceName, ShiftSettings, ShiftStatus, TeamName, Urgency,
};
use derive_more::Display;

/// How the home region of a block was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HomeReason {
    /// The longest prefix in the settings that holds the block; `None` where no prefix does, and
    /// the region of the answering VM stands in.
    pub prefix: Option<ClientBlock>,
    /// The home region.
    pub region: RegionName,
}

/// What a class asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassReason {
    /// Longest time from arrival to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Name of the class.
    pub name: ClassName,
    /// Whether a request may be sent again.
    pub repeat: RepeatRule,
    /// Largest share of a target's slots.
    pub slot_share: f64,
    /// How soon the class is served.
    pub urgency: Urgency,
}

/// A shift that leaves the region where the request arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftReason {
    /// What the answering VM does for it now; `None` where the request arrives in another region.
    pub live: Option<ShiftStatus>,
    /// Share of the region's traffic that the ramp moves by now if nothing holds it up, from 0 to 1.
    pub now: f64,
    /// The shift.
    pub shift: ShiftSettings,
}

/// What becomes of an availability zone in the search.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ZoneVerdict {
    /// Requests go here now.
    #[display("chosen")]
    Chosen,
    /// All of its targets are drained.
    #[display("drained")]
    Drained,
    /// Has room, but others come first.
    #[display("next choice")]
    NextChoice,
    /// No serving entry VM of the zone is known.
    #[display("no owner")]
    NoOwner,
    /// All slots are busy; a request would wait.
    #[display("no free slot")]
    NoRoom,
}

/// An availability zone with targets of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneReason {
    /// One-way delay from where the request arrives in milliseconds, where a link is set.
    pub delay_ms: Option<f64>,
    /// Drains that hold targets back.
    pub drains: Vec<DrainSettings>,
    /// Owner and room of the pool.
    pub pool: Option<KnownPool>,
    /// Region of the zone.
    pub region: Option<RegionName>,
    /// Targets in service.
    pub serving: usize,
    /// All targets.
    pub targets: usize,
    /// What becomes of it.
    pub verdict: ZoneVerdict,
    /// Name of the zone.
    pub zone: AvailabilityZoneName,
}

/// Where a request would go now, and each reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Availability zone where the request arrives.
    pub arrival: AvailabilityZoneName,
    /// The block of clients.
    pub block: ClientBlock,
    /// The class that was asked for, or all.
    pub classes: Vec<ClassReason>,
    /// The home region of the block.
    pub home: HomeReason,
    /// Region where the request arrives; its shares and shifts count, also where it isn't the home.
    pub region: RegionName,
    /// The service.
    pub service: ServiceName,
    /// Shares of the arrival region's traffic that regions serve, as set.
    pub shares: Vec<(RegionName, f64)>,
    /// Shifts that leave the arrival region.
    pub shifts: Vec<ShiftReason>,
    /// Team that owns the service.
    pub team: TeamName,
    /// Entry VMs for the block, in the order that a look-up gives.
    pub vms: Vec<LookupVm>,
    /// Zones in the order in which they are tried, then those that are drained.
    pub zones: Vec<ZoneReason>,
}

impl Explanation {
    /// The zone that requests go to now.
    pub fn chosen(&self) -> Option<&ZoneReason> {
        self.zones.iter().find(|zone| zone.verdict == ZoneVerdict::Chosen)
    }
}
