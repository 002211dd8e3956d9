//! An explanation as operators get it.

use super::{LiveShift, RoomView, status_view::to_millis};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use steer::{ClassReason, DrainSettings, Explanation, ShiftReason, ZoneReason};

/// An entry VM for the block.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedVm {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
}

/// What a class asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedClass {
    /// Longest time from arrival to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Its name.
    pub name: String,
    /// Whether a request may be sent again.
    pub repeat: steer::RepeatRule,
    /// Largest share of a target's slots.
    pub slot_share: f64,
    /// How soon the class is served.
    pub urgency: steer::Urgency,
}

/// A shift that leaves the region where the request arrives.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedShift {
    /// Most requests a second that it moves.
    pub cap: u32,
    /// What the answering VM does for it; `None` where the request arrives in another region.
    pub live: Option<LiveShift>,
    /// Share that the ramp moves by now if nothing holds it up.
    pub now: f64,
    /// Share that it moves in the end.
    pub share: f64,
    /// Region that receives the traffic.
    pub to: String,
}

/// An availability zone with targets of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedZone {
    /// One-way delay from where the request arrives in milliseconds.
    pub delay_ms: Option<f64>,
    /// Drains that hold targets back.
    pub drains: Vec<DrainSettings>,
    /// Its region.
    pub region: String,
    /// Owner and room of the pool.
    pub room: Option<RoomView>,
    /// Targets in service.
    pub serving: usize,
    /// All targets.
    pub targets: usize,
    /// What becomes of it.
    pub verdict: String,
    /// Its name.
    pub zone: String,
}

/// Where a request would go now, and each reason.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainView {
    /// Availability zone where the request arrives.
    pub arrival: String,
    /// The block of clients.
    pub block: String,
    /// The zone that requests go to now.
    pub chosen: Option<String>,
    /// Classes of the service.
    pub classes: Vec<ExplainedClass>,
    /// Home region of the block.
    pub home: String,
    /// Prefix in the settings that gave the home region.
    pub prefix: Option<String>,
    /// Region where the request arrives; its shares and shifts count.
    pub region: String,
    /// The service.
    pub service: String,
    /// Shares of the home region's traffic by region.
    pub shares: BTreeMap<String, f64>,
    /// Shifts that leave the arrival region.
    pub shifts: Vec<ExplainedShift>,
    /// Team that owns the service.
    pub team: String,
    /// Entry VMs in the order that a look-up gives.
    pub vms: Vec<ExplainedVm>,
    /// Zones in the order in which they are tried, then those that are drained.
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
