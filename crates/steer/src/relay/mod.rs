//! Relays the store's objects between VMs, so that only a region's delegates read the store.

mod news_board;
mod news_log;
mod relayed_source;

pub use self::{
    news_board::NewsBoard,
    news_log::NewsLog,
    relayed_source::{RelayPace, RelayedSource},
};
