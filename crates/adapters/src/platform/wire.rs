//! JSON encoding of the platform's messages.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use steer::{PlatformObject, PlatformVm, VmRole, WatchBatch};

/// An object in a list or watch response.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlatformObjectBody {
    /// Author of the write.
    #[serde(default)]
    pub author: String,
    /// Path of the object.
    pub path: String,
    /// Time of the write in RFC 3339 format.
    #[serde(default)]
    pub time: String,
    /// Value of the object; `null` if the object was deleted.
    pub value: Option<String>,
    /// The store's revision of the write.
    pub version: u64,
}

/// All objects under a prefix, or the objects changed after a revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlatformBatch {
    /// The objects.
    pub objects: Vec<PlatformObjectBody>,
    /// Revision at which the next watch starts.
    pub revision: u64,
}

/// An entry in the platform's VM list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WirePlatformVm {
    /// Address for peers if this is an entry VM, or for requests if it is a target.
    pub address: SocketAddr,
    /// `entry` or `target`.
    pub kind: String,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// Name of the VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
}

impl From<PlatformObjectBody> for PlatformObject {
    fn from(wire: PlatformObjectBody) -> Self {
        Self { path: wire.path.into(), value: wire.value.map(Into::into), version: wire.version }
    }
}

impl From<PlatformBatch> for WatchBatch {
    fn from(wire: PlatformBatch) -> Self {
        let objects = wire.objects.into_iter().map(PlatformObject::from).collect();
        Self { objects, revision: wire.revision }
    }
}

impl From<WirePlatformVm> for PlatformVm {
    fn from(wire: WirePlatformVm) -> Self {
        let kind = if wire.kind == "entry" { VmRole::Entry } else { VmRole::Target };
        Self {
            address: wire.address,
            kind,
            leaving: wire.leaving,
            name: wire.name.into(),
            zone: wire.zone.into(),
        }
    }
}
