//! The choice of the availability zone for a request, and the leasing of pool slots between zones.

mod adoption;
mod lent_slots;
mod region_split;
mod room_desk;
mod zone_order;
mod zone_plan;

pub use self::{
    adoption::{Adoptions, nearest_neighbour},
    lent_slots::LentSlots,
    region_split::RegionSplit,
    room_desk::{RoomDesk, RoomTicket},
    zone_order::order_zones,
    zone_plan::{ZoneView, plan_zones},
};
