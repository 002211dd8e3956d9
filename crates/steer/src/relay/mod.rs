//! News of the store that VMs pass on, so that only a region's delegates read it.

mod news_board;
mod news_log;
mod relayed_source;

pub use self::{
    news_board::NewsBoard,
    news_log::NewsLog,
    relayed_source::{RelayPace, RelayedSource},
};
