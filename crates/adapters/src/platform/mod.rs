//! HTTP client for the platform's object API and VM list.

mod http_platform;
mod wire;

pub use self::{
    http_platform::HttpPlatform,
    wire::{PlatformBatch, PlatformObjectBody, WirePlatformVm as PlatformVmBody},
};
