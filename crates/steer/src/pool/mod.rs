//! The targets of a service in an availability zone, with exact counts of their slots.

mod grant;
mod permit;
mod pool_class;
mod pool_key;
mod pool_owner;
mod pool_state;
mod pool_target;
mod target_pool;
mod ticket;

pub use self::{
    permit::{HedgeOrigin, Permit},
    pool_key::PoolKey,
    pool_owner::choose_owner,
    target_pool::TargetPool,
    ticket::Ticket,
};
