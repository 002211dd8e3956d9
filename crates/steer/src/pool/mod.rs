//! The pool of a service's targets in an availability zone, with exact slot counts.

mod grant;
mod permit;
mod pool_class;
mod pool_key;
mod pool_owner;
mod pool_state;
mod pool_target;
mod slot_request;
mod target_pool;

pub(crate) use self::pool_owner::choose_by_hash;

pub use self::{
    permit::{HedgedAttempt, Permit},
    pool_key::PoolKey,
    pool_owner::choose_owner,
    slot_request::SlotRequest,
    target_pool::TargetPool,
};
