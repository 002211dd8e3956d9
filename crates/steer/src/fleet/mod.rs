//! The entry VMs of the fleet, for the directory and for limits shared by the whole fleet.

mod fleet_state;
mod fleet_view;
mod relay_tree;
mod vm_hello;
mod vm_record;
mod zone_reports;

pub use self::{
    fleet_view::FleetView,
    relay_tree::{RelayRole, RelayTree},
    vm_hello::VmHello,
    vm_record::VmRecord,
    zone_reports::{ZoneReport, ZoneReports},
};
