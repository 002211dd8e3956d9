//! The port towards the platform: versioned objects and the list of VMs.

use super::PlatformError;
use crate::AvailabilityZoneName;
use async_trait::async_trait;
use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

/// An object as the platform holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformObject {
    /// Path of the object.
    pub path: Arc<str>,
    /// Its value; `None` where it was deleted.
    pub value: Option<Arc<str>>,
    /// The store's revision of the write.
    pub version: u64,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// No object.
    Absent,
    /// The object at this version.
    Version(u64),
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// The changed objects, each at its newest version.
    pub objects: Vec<PlatformObject>,
    /// Revision to watch from next.
    pub revision: u64,
}

/// What a VM in the platform's list is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum VmKindTag {
    /// Runs the system.
    Entry,
    /// Runs a service.
    Target,
}

/// A VM in the platform's lagging list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformVm {
    /// Address for peers of an entry VM, for requests of a target.
    pub address: SocketAddr,
    /// What the VM is for.
    pub kind: VmKindTag,
    /// The VM is about to stop.
    pub leaving: bool,
    /// Name of the VM.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: AvailabilityZoneName,
}

/// The platform's object API and VM list.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// Reads one object; `None` where there is none.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn read(&self, path: &str) -> Result<Option<PlatformObject>, PlatformError>;

    /// Lists the objects under a prefix with the revision of the list.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn list(&self, prefix: &str) -> Result<WatchBatch, PlatformError>;

    /// Writes an object if it is as expected, and gives its new version.
    ///
    /// # Errors
    ///
    /// `Conflict` where it isn't; `Lost` where the write may have taken effect.
    async fn write(
        &self,
        path: &str,
        value: &str,
        expected: Expected,
    ) -> Result<u64, PlatformError>;

    /// Waits until objects under a prefix change after a revision, or the time is over.
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

    /// Reads the kept versions of an object, newest first; none where the platform keeps none.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn versions(&self, _path: &str) -> Result<Vec<PlatformObject>, PlatformError> {
        Ok(Vec::new())
    }

    /// Lists live and leaving VMs; the list lags.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `RateLimited` or `Invalid`.
    async fn vms(&self) -> Result<Vec<PlatformVm>, PlatformError>;
}
