//! The shared state of an entry VM.

mod cross_zone_state;
mod entry_node;
mod entry_ports;
mod entry_zones;
mod in_flight;

pub use self::{
    cross_zone_state::CrossZoneState,
    entry_node::{EntryNode, PoolOwner},
    entry_ports::EntryPorts,
    in_flight::{InFlight, InFlightGuard},
};
