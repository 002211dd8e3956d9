//! The entry VMs of the fleet, for the directory and for limits shared by the whole fleet.

mod fleet_view;
mod vm_hello;
mod vm_record;

pub use self::{fleet_view::FleetView, vm_hello::VmHello, vm_record::VmRecord};
