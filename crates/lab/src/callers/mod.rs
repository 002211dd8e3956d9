//! Stand-ins for callers: lookups, requests and the evaluation of the responses.

mod exchange;
mod lookup_cache;
mod naive_front;

pub use self::{
    exchange::{Callers, RequestResult},
    lookup_cache::LookupCache,
    naive_front::NaiveFront,
};
