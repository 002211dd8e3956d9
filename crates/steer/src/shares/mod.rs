//! Rate limits that the entry VMs of a region share.

mod candidacy;
mod share_allocator;
mod share_total;
mod window_limiter;

pub use self::{
    candidacy::Candidacy,
    share_allocator::{ShareAllocator, ShareStatus},
    share_total::ShareTotal,
    window_limiter::WindowLimiter,
};
