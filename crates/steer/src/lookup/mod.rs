//! Lookups: which entry VMs a caller should use.

mod block_table;
mod lookup_answer;
mod lookup_index;
mod lookup_order;

pub use self::{
    block_table::BlockTable,
    lookup_answer::{LookupAnswer, LookupVm},
    lookup_index::LookupIndex,
    lookup_order::{LookupCandidate, order_vms},
};
