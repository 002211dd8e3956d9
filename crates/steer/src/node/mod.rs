//! The shared state of an entry VM.

mod entry_node;
mod entry_ports;

pub use self::{
    entry_node::{EntryNode, PoolOwner},
    entry_ports::EntryPorts,
};
