//! Implementations of the commands, one per file.

mod check;
mod explain;
mod lookup;
mod put_settings;
mod run_entry_vm;
mod run_router;
mod settings;
mod status;

pub use self::run_entry_vm::WrapPeers;
pub(crate) use self::{
    check::{CheckOptions, problem_json, problem_text},
    explain::ExplainOptions,
    lookup::LookupOptions,
    put_settings::{PutOptions, put_settings},
    run_entry_vm::{EntryOptions, run_entry_vm},
    run_router::{RouterOptions, run_router},
    settings::SettingsOptions,
    status::StatusOptions,
};
