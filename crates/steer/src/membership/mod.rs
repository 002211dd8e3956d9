//! Who is in the fleet and in which state.

mod control_usage;
mod delegates;
mod entry_vm;
mod knowledge;
mod membership_table;
mod news_route;
mod node_membership;
mod peer_record;
mod rejection;
mod talk_state;
mod vm;
mod vm_state;

pub(crate) use self::talk_state::TalkState;
pub use self::{
    control_usage::{ControlPart, ControlUsage, PartUsage},
    delegates::{Candidate, DELEGATES, TalkPlan, choose_delegates},
    entry_vm::{EntryVm, VmAddresses},
    knowledge::Knowledge,
    membership_table::{MembershipTable, Sweep},
    peer_record::PeerRecord,
    rejection::Rejection,
    vm::{Draining, Joining, Paused, Serving, Stopped, Vm},
    vm_state::VmState,
};
