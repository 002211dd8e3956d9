//! The platform's messages as they are encoded.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use steer::{PlatformObject, PlatformVm, VmKindTag, WatchBatch};

/// An object in a list or watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireObject {
    /// Who wrote it.
    #[serde(default)]
    pub author: String,
    /// Path of the object.
    pub path: String,
    /// When it was written, as an RFC 3339 time.
    #[serde(default)]
    pub time: String,
    /// Its value; `null` where it was deleted.
    pub value: Option<String>,
    /// The store's revision of the write.
    pub version: u64,
}

/// A list, or the changes after a revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WireBatch {
    /// The objects.
    pub objects: Vec<WireObject>,
    /// Revision to watch from next.
    pub revision: u64,
}

/// A VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireVm {
    /// Address for peers of an entry VM, for requests of a target.
    pub address: SocketAddr,
    /// `entry` or `target`.
    pub kind: String,
    /// The VM is about to stop.
    pub leaving: bool,
    /// Name of the VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
}

impl From<WireObject> for PlatformObject {
    fn from(wire: WireObject) -> Self {
        Self { path: wire.path.into(), value: wire.value.map(Into::into), version: wire.version }
    }
}

impl From<WireBatch> for WatchBatch {
    fn from(wire: WireBatch) -> Self {
        let objects = wire.objects.into_iter().map(PlatformObject::from).collect();
        Self { objects, revision: wire.revision }
    }
}

impl From<WireVm> for PlatformVm {
    fn from(wire: WireVm) -> Self {
        let kind = if wire.kind == "entry" { VmKindTag::Entry } else { VmKindTag::Target };
        Self {
            address: wire.address,
            kind,
            leaving: wire.leaving,
            name: wire.name.into(),
            zone: wire.zone.into(),
        }
    }
}
