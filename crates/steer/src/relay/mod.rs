//! Relays the store's objects between VMs, so that few of them read the store.

mod change_log;
mod object_cache;
mod object_transfers;
mod offered_texts;
mod relay_timing;
mod relayed_source;
mod store_caller;
mod store_gate;

pub use self::{
    change_log::{ChangeLog, Freshness},
    object_cache::ObjectCache,
    object_transfers::{CompletedTransfer, ObjectTransfers},
    offered_texts::OfferedTexts,
    relay_timing::RelayTiming,
    relayed_source::RelayedSource,
    store_gate::StoreGate,
};
