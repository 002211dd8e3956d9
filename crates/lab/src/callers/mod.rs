//! Stand-ins for callers: lookups, requests and the evaluation of the responses.

mod exchange;
mod lookup_cache;
mod naive_balancer;

pub use self::{
    exchange::{Callers, RequestResult},
    lookup_cache::LookupCache,
    naive_balancer::NaiveBalancer,
};
