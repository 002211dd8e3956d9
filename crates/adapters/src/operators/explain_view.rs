//! JSON view of an explanation.

use super::{LiveShift, RoomView, status_view::to_millis};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use steer::{ClassReason, DrainSettings, Explanation, ShiftReason, ZoneReason};

/// An entry VM that a look-up returns for the block.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedVm {
    /// Address for callers' requests.
    pub address: SocketAddr,
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// Settings of a request class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedClass {
    /// Time from arrival to the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Name.
    pub name: String,
    /// Whether a request may be retried.
    pub repeat: steer::RepeatRule,
    /// Maximum share of a target's slots, from 0 to 1.
    pub slot_share: f64,
    /// Scheduling priority.
    pub urgency: steer::Urgency,
}

/// A traffic shift out of the arrival region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedShift {
    /// Maximum requests per second that are shifted.
    pub cap: u32,
    /// Progress at the responding VM; `None` if the request arrives in another region.
    pub live: Option<LiveShift>,
    /// Share that the ramp allows now, from 0 to 1, provided that the shift is not held.
    pub now: f64,
    /// Share at the end of the ramp, from 0 to 1.
    pub share: f64,
    /// Region that receives the traffic.
    pub to: String,
}

/// An availability zone with targets of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedZone {
    /// One-way network delay from the arrival zone in milliseconds.
    pub delay_ms: Option<f64>,
    /// Drains that apply to targets in the zone.
    pub drains: Vec<DrainSettings>,
    /// Region.
    pub region: String,
    /// Owner and free capacity of the pool.
    pub room: Option<RoomView>,
    /// Number of targets in service.
    pub serving: usize,
    /// Number of targets.
    pub targets: usize,
    /// Decision for this zone, such as `chosen` or `no owner`.
    pub verdict: String,
    /// Name.
    pub zone: String,
}

/// Where a request would be routed now, with the reasons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainView {
    /// Availability zone where the request arrives.
    pub arrival: String,
    /// Block of client addresses.
    pub block: String,
    /// Zone that requests are routed to now.
    pub chosen: Option<String>,
    /// Classes of the service.
    pub classes: Vec<ExplainedClass>,
    /// Home region of the block.
    pub home: String,
    /// Prefix in the settings that determined the home region.
    pub prefix: Option<String>,
    /// Region where the request arrives; its shares and shifts apply.
    pub region: String,
    /// The service.
    pub service: String,
    /// Share of the arrival region's traffic that each region serves.
    pub shares: BTreeMap<String, f64>,
    /// Traffic shifts out of the arrival region.
    pub shifts: Vec<ExplainedShift>,
    /// Team that owns the service.
    pub team: String,
    /// Entry VMs in look-up order.
    pub vms: Vec<ExplainedVm>,
    /// Zones in the order in which they are tried, followed by drained zones.
    pub zones: Vec<ExplainedZone>,
}

impl From<&Explanation> for ExplainView {
    fn from(e: &Explanation) -> Self {
        let vm = |vm: &steer::LookupVm| ExplainedVm {
            address: vm.address,
            name: vm.name.to_string(),
            zone: vm.zone.to_string(),
        };
        Self {
            arrival: e.arrival.to_string(),
            block: e.block.to_string(),
            chosen: e.chosen().map(|zone| zone.zone.to_string()),
            classes: e.classes.iter().map(to_class).collect(),
            home: e.home.region.to_string(),
            prefix: e.home.prefix.map(|prefix| prefix.to_string()),
            region: e.region.to_string(),
            service: e.service.to_string(),
            shares: e.shares.iter().map(|(region, s)| (region.to_string(), *s)).collect(),
            shifts: e.shifts.iter().map(to_shift).collect(),
            team: e.team.to_string(),
            vms: e.vms.iter().map(vm).collect(),
            zones: e.zones.iter().map(|zone| to_zone(zone, e)).collect(),
        }
    }
}

fn to_class(class: &ClassReason) -> ExplainedClass {
    ExplainedClass {
        deadline_ms: class.deadline_ms,
        name: class.name.to_string(),
        repeat: class.repeat,
        slot_share: class.slot_share,
        urgency: class.urgency,
    }
}

fn to_shift(reason: &ShiftReason) -> ExplainedShift {
    let ShiftReason { live, now, shift } = reason;
    ExplainedShift {
        cap: shift.cap,
        live: live.as_ref().map(LiveShift::from),
        now: *now,
        share: shift.share,
        to: shift.to.to_string(),
    }
}

fn to_zone(reason: &ZoneReason, explanation: &Explanation) -> ExplainedZone {
    let region = reason.region.as_ref().map(ToString::to_string).unwrap_or_default();
    let room = reason.pool.as_ref().map(|pool| RoomView {
        free: pool.room.free,
        heard_ms: to_millis(pool.age),
        owner: pool.owner.to_string(),
        queued: pool.room.queued,
        region: region.clone(),
        service: explanation.service.to_string(),
        slots: pool.room.slots,
        zone: reason.zone.to_string(),
    });
    ExplainedZone {
        delay_ms: reason.delay_ms,
        drains: reason.drains.clone(),
        region,
        room,
        serving: reason.serving,
        targets: reason.targets,
        verdict: reason.verdict.to_string(),
        zone: reason.zone.to_string(),
    }
}
