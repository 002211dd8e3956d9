//! The port to the platform: versioned objects and the list of VMs.

use super::PlatformError;
use crate::AvailabilityZoneName;
use async_trait::async_trait;
use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

/// An object stored by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformObject {
    /// Path of the object.
    pub path: Arc<str>,
    /// Value of the object; `None` if it was deleted.
    pub value: Option<Arc<str>>,
    /// Store revision of the last write.
    pub version: u64,
}

/// Precondition of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Changed objects, each at its newest version.
    pub objects: Vec<PlatformObject>,
    /// Revision from which to continue watching.
    pub revision: u64,
}

/// Role of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum VmRole {
    /// Routes the requests of callers.
    Entry,
    /// Runs a service.
    Target,
}

/// A VM in the platform's list, which may be stale.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformVm {
    /// Address: for peers if this is an entry VM, for requests if it is a target.
    pub address: SocketAddr,
    /// Role of the VM.
    pub kind: VmRole,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// Name of the VM.
    pub name: Arc<str>,
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneName,
}

/// The platform's object API and VM list.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn read(&self, path: &str) -> Result<Option<PlatformObject>, PlatformError>;

    /// Lists the objects under a prefix, with the revision of the list.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn list(&self, prefix: &str) -> Result<WatchBatch, PlatformError>;

    /// Writes an object if the precondition holds and returns its new version.
    ///
    /// # Errors
    ///
    /// `Conflict` if the precondition fails; `Lost` if the write may have taken effect.
    async fn write(
        &self,
        path: &str,
        value: &str,
        expected: Expected,
    ) -> Result<u64, PlatformError>;

    /// Waits until objects under a prefix change after a revision, or until `wait` elapses.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError>;

    /// Reads the retained versions of an object, newest first; empty if the platform retains none.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn versions(&self, _path: &str) -> Result<Vec<PlatformObject>, PlatformError> {
        Ok(Vec::new())
    }

    /// Lists live and leaving VMs; the list may be stale.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn vms(&self) -> Result<Vec<PlatformVm>, PlatformError>;
}
