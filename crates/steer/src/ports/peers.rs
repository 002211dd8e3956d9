//! The port to other entry VMs.

use super::{Body, SendError};
use crate::{
    ControlUsage, EntryVm, LeaseGrant, LeaseRequest, PoolKey, SettingsPath, Suspect, TargetName,
    VmName, VmState,
};
use async_trait::async_trait;
use displaydoc::Display;
use http::{Request, Response};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Capacity of a pool as counted by its owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolRoom {
    /// Free slots.
    pub free: u32,
    /// Queued requests.
    pub queued: u32,
    /// Total slots of the targets in service.
    pub slots: u32,
}

/// State of an entry VM as announced to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Digest of the active settings.
    pub digest: u64,
    /// Number of times that the sender has refuted a suspicion of failure.
    pub refutation: u64,
    /// Capacity of the pools that the sender owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
    /// Lifecycle state.
    pub state: VmState,
    /// Identity of the sender.
    pub vm: EntryVm,
}

/// Position in the sequence of a VM's changes; later changes have not been sent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Cursor(pub u64);

/// Change of a VM, as sent to peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmUpdate {
    /// Whether the sender knows that the VM is alive.
    pub alive: bool,
    /// Number of times that the VM has refuted a suspicion of failure.
    pub refutation: u64,
    /// Lifecycle state.
    pub state: VmState,
    /// Identity of the VM.
    pub vm: EntryVm,
}

/// Change in the capacity of a VM's pools, as sent to peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomUpdate {
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Name of the VM.
    pub name: VmName,
    /// Capacity of the pools that it owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
}

/// Incremental heartbeat between VMs that know each other; it carries only changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exchange {
    /// Time since the platform last confirmed the settings of the sender.
    pub age: Option<Duration>,
    /// Position up to which the receiver has applied the changes of the sender.
    pub base: Cursor,
    /// Digest of the active settings.
    pub digest: u64,
    /// Name of the sender.
    pub from: VmName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Targets in the receiver's zone that are leaving, if the set changed.
    pub leaving: Option<BTreeSet<TargetName>>,
    /// Addresses of VMs in the receiver's zone that it may not know yet.
    pub mates: BTreeSet<SocketAddr>,
    /// Changed VMs.
    pub members: Vec<VmUpdate>,
    /// Changed settings with their versions.
    pub offers: BTreeMap<SettingsPath, u64>,
    /// Changed pools.
    pub rooms: Vec<RoomUpdate>,
    /// Position up to which the sender has applied the changes of the receiver.
    pub seen: Cursor,
    /// Position that the receiver reaches by applying this message.
    pub sent: Cursor,
    /// VMs that the sender suspects of failure, with their incarnation and refutation count.
    pub suspects: Vec<(VmName, u64, u64)>,
}

/// Requests the settings that are newer than these versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsQuery {
    /// Whether only the listed paths are requested.
    pub named: bool,
    /// Versions that are active at the sender.
    pub versions: BTreeMap<SettingsPath, u64>,
}

/// A settings document sent between peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsDocument {
    /// Path of the document.
    pub path: SettingsPath,
    /// Text of the document.
    pub text: Arc<str>,
    /// Version of the document.
    pub version: u64,
}

/// Settings documents that the requesting peer lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsBatch {
    /// The documents.
    pub documents: Vec<SettingsDocument>,
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Sends changes; the reply contains the changes of the receiver.
    Exchange(Exchange),
    /// Announces the sender; the reply announces the receiver.
    Heartbeat(Heartbeat),
    /// Requests, renews or releases a lease.
    Lease(LeaseRequest),
    /// Requests newer settings.
    Settings(SettingsQuery),
    /// Reports requests suspected of crashing targets; the reply lists those the receiver knows.
    Suspects(Vec<Suspect>),
}

/// A reply from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// Changes of the receiver.
    Exchange(Exchange),
    /// Announcement of the receiver.
    Heartbeat(Heartbeat),
    /// Granted lease.
    Lease(LeaseGrant),
    /// Settings that the sender of the query lacks.
    Settings(SettingsBatch),
    /// Requests suspected of crashing targets.
    Suspects(Vec<Suspect>),
}

/// Error of a call to a peer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PeerError {
    /// invalid reply from the peer: {0}
    Invalid(String),
    /// the peer did not reply in time
    NoReply,
    /// the peer refused the message: {0}
    Refused(String),
    /// the peer can't be reached: {0}
    Unreachable(String),
}

impl std::error::Error for PeerError {}

/// Sends messages and requests to other entry VMs.
#[async_trait]
pub trait Peers: Debug + Send + Sync {
    /// Sends a message and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached, refuses the message or sends an invalid
    /// reply.
    async fn call(&self, peer: SocketAddr, message: PeerMessage) -> Result<PeerReply, PeerError>;

    /// Returns the byte counts of the messages sent through this port and of their replies.
    fn usage(&self) -> Arc<ControlUsage> {
        Arc::default()
    }

    /// Forwards a request to a peer and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The error tells whether any byte of the request may have left this VM.
    async fn hand_off(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError>;
}
