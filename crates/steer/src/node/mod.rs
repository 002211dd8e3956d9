//! The shared state of an entry VM.

mod entry_node;
mod entry_ports;
mod entry_zones;
mod under_way;
mod zone_desk;

pub use self::{
    entry_node::{EntryNode, PoolOwner},
    entry_ports::EntryPorts,
    under_way::{Entered, UnderWay},
    zone_desk::ZoneDesk,
};
