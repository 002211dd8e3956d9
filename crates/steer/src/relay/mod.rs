//! Relays the store's objects between VMs, so that only a region's delegates read the store.

mod change_log;
mod object_cache;
mod object_transfers;
mod offered_texts;
mod relayed_source;

pub use self::{
    change_log::{ChangeLog, Freshness},
    object_cache::ObjectCache,
    object_transfers::{CompletedTransfer, ObjectTransfers},
    offered_texts::OfferedTexts,
    relayed_source::{RelayLimits, RelayedSource},
};
