//! Short-term leases on parts of a countable resource, granted by one entry VM to another.

mod lease_book;
mod lease_message;
mod lease_state;
mod max_min;
mod vote_book;

pub use self::{
    lease_book::LeaseBook,
    lease_message::{LeaseGrant, LeaseHolder, LeaseItem, LeaseRequest, ShareKey},
    lease_state::{Held, Lapsed, Lease},
    max_min::max_min,
    vote_book::VoteBook,
};
