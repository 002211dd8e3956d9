//! Membership of the fleet: which entry VMs are alive, and their states.

mod control_usage;
mod delegates;
mod entry_vm;
mod exchange_state;
mod membership_table;
mod node_membership;
mod peer_record;
mod platform_freshness;
mod rejection;
mod update_route;
mod vm;
mod vm_state;

pub(crate) use self::exchange_state::ExchangeState;
pub use self::{
    control_usage::{ControlPart, ControlUsage, PartUsage},
    delegates::{DELEGATES_PER_SCOPE, DelegateCandidate, HeartbeatPlan, choose_delegates},
    entry_vm::{EntryVm, VmAddresses},
    membership_table::{MembershipTable, SweepResult},
    peer_record::PeerRecord,
    platform_freshness::PlatformFreshness,
    rejection::Rejection,
    vm::{Draining, Joining, Paused, Serving, Stopped, Vm},
    vm_state::VmState,
};
