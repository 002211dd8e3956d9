//! The platform's object API and VM list over HTTP.

mod http_platform;
mod wire;

pub use self::{
    http_platform::HttpPlatform,
    wire::{
        WireBatch as PlatformBatch, WireObject as PlatformObjectBody, WireVm as PlatformVmBody,
    },
};
