//! The callers: look-ups, requests and what they make of the answers.

mod exchange;
mod lookup_cache;
mod naive_front;

pub use self::{
    exchange::{Callers, RequestEnd},
    lookup_cache::LookupCache,
    naive_front::NaiveFront,
};
