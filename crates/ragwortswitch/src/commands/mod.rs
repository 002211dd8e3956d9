//! The commands, one file each.

mod run_entry_vm;

pub use self::run_entry_vm::WrapPeers;
pub(crate) use self::run_entry_vm::run_entry_vm;
