//! The choice of the availability zone for a request, and the leasing of pool slots between zones.

mod granted_slots;
mod orphan_tracker;
mod region_split;
mod slot_leases;
mod zone_order;
mod zone_plan;

pub use self::{
    granted_slots::GrantedSlots,
    orphan_tracker::{OrphanTracker, nearest_served_zone},
    region_split::RegionSplit,
    slot_leases::{LeasedSlot, SlotLeases},
    zone_order::order_zones,
    zone_plan::{ZoneView, plan_zones},
};
