//! The shared state of an entry VM.

mod entry_node;
mod entry_ports;
mod under_way;

pub use self::{
    entry_node::{EntryNode, PoolOwner},
    entry_ports::EntryPorts,
    under_way::{Entered, UnderWay},
};
