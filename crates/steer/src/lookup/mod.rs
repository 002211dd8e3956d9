//! Look-ups: which entry VMs a caller should use.

mod block_table;
mod lookup_answer;
mod lookup_board;
mod lookup_order;

pub use self::{
    block_table::BlockTable,
    lookup_answer::{LookupAnswer, LookupVm},
    lookup_board::LookupBoard,
    lookup_order::{LookupCandidate, order_vms},
};
