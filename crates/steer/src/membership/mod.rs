//! Who is in the fleet and in which state.

mod entry_vm;
mod membership_table;
mod vm;
mod vm_state;

pub use self::{
    entry_vm::{EntryVm, VmAddresses},
    membership_table::{MembershipTable, PeerRecord},
    vm::{Draining, Joining, Paused, Serving, Stopped, Vm},
    vm_state::VmState,
};
