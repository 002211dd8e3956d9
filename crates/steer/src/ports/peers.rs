//! The port towards other entry VMs.

use super::{Body, SendError};
use crate::{
    ControlUsage, EntryVm, LeaseAsk, LeaseGrant, PoolKey, SettingsPath, Suspect, TargetName,
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

/// Free room of a pool as its owner counts it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolRoom {
    /// Slots that are free.
    pub free: u32,
    /// Requests that wait.
    pub queued: u32,
    /// All slots of targets in service.
    pub slots: u32,
}

/// What an entry VM tells a peer about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Digest of the settings in force.
    pub digest: u64,
    /// How often the sender refuted a suspicion.
    pub refutation: u64,
    /// Room of the pools that the sender owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
    /// State of its life cycle.
    pub state: VmState,
    /// Who sends.
    pub vm: EntryVm,
}

/// A place in the order of a VM's changes; what lies after it has not been told.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Cursor(pub u64);

/// What is told of a VM when it changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberNews {
    /// The teller knows that it lives.
    pub alive: bool,
    /// How often it refuted a suspicion.
    pub refutation: u64,
    /// State of its life cycle.
    pub state: VmState,
    /// Who it is.
    pub vm: EntryVm,
}

/// What is told of the room of a VM's pools.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomNews {
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Name of the VM.
    pub name: VmName,
    /// Room of the pools that it owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
}

/// A heartbeat between VMs that know each other: it tells only what changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exchange {
    /// Time since the platform confirmed the settings that the sender has.
    pub age: Option<Duration>,
    /// The receiver has taken all that the sender told up to here.
    pub base: Cursor,
    /// Digest of the settings in force.
    pub digest: u64,
    /// Who sends.
    pub from: VmName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Targets of the receiver's zone that are leaving, where that changed.
    pub leaving: Option<BTreeSet<TargetName>>,
    /// Addresses of VMs of the receiver's zone that it may not know yet.
    pub mates: BTreeSet<SocketAddr>,
    /// VMs that changed.
    pub members: Vec<MemberNews>,
    /// Settings that changed, with their versions.
    pub offers: BTreeMap<SettingsPath, u64>,
    /// Pools that changed.
    pub rooms: Vec<RoomNews>,
    /// What the sender has taken of the receiver's changes.
    pub seen: Cursor,
    /// What the receiver knows once it has taken this message.
    pub sent: Cursor,
    /// VMs that the sender suspects, with incarnation and refutation.
    pub suspects: Vec<(VmName, u64, u64)>,
}

/// Asks for settings that are newer than these versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsQuery {
    /// Only the paths that are named are asked for.
    pub named: bool,
    /// Versions that the asker has in force.
    pub versions: BTreeMap<SettingsPath, u64>,
}

/// One settings document on its way between peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsDocument {
    /// Where it stands.
    pub path: SettingsPath,
    /// Its text.
    pub text: Arc<str>,
    /// Its version.
    pub version: u64,
}

/// Settings documents that the asker lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsBatch {
    /// The documents.
    pub documents: Vec<SettingsDocument>,
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Tells what changed; answered by what changed at the receiver.
    Exchange(Exchange),
    /// Introduces the sender; answered by the receiver's own introduction.
    Heartbeat(Heartbeat),
    /// Asks for a lease, renews one or gives it back.
    Lease(LeaseAsk),
    /// Asks for newer settings.
    Settings(SettingsQuery),
    /// Tells which requests ended targets; answered by what the receiver knows.
    Suspects(Vec<Suspect>),
}

/// A peer's reply.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// What changed at the receiver.
    Exchange(Exchange),
    /// The receiver's own introduction.
    Heartbeat(Heartbeat),
    /// What is granted.
    Lease(LeaseGrant),
    /// Settings that the asker lacks.
    Settings(SettingsBatch),
    /// Requests that ended targets.
    Suspects(Vec<Suspect>),
}

/// Why a message to a peer got no reply.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PeerError {
    /// the reply can't be read: {0}
    Invalid(String),
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
    /// Where the peer can't be reached, refuses or answers something else.
    async fn call(&self, peer: SocketAddr, message: PeerMessage) -> Result<PeerReply, PeerError>;

    /// Bytes of the messages that this port sent, and of their replies.
    fn usage(&self) -> Arc<ControlUsage> {
        Arc::default()
    }

    /// Hands a request over to a peer and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether a byte of the request may have left this VM.
    async fn hand_off(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError>;
}
