//! Short-term leases on parts of a countable resource, granted by one entry VM to another.

mod lease_grantor;
mod lease_message;
mod lease_state;
mod max_min_fair;
mod voter;

pub use self::{
    lease_grantor::LeaseGrantor,
    lease_message::{LeaseGrant, LeaseHolder, LeaseItem, LeaseRequest, ShareKey},
    lease_state::{Expired, Held, Lease},
    max_min_fair::max_min_fair,
    voter::Voter,
};
