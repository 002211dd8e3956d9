//! The port towards other entry VMs.

use super::{Body, SendError};
use crate::{EntryVm, PoolKey, SettingsPath, Suspect, VmState};
use async_trait::async_trait;
use displaydoc::Display;
use http::{Request, Response};
use std::{collections::BTreeMap, fmt::Debug, net::SocketAddr, sync::Arc};

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
    /// Room of the pools that the sender owns.
    pub room: BTreeMap<PoolKey, PoolRoom>,
    /// State of its life cycle.
    pub state: VmState,
    /// Who sends.
    pub vm: EntryVm,
}

/// Asks for settings that are newer than these versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsQuery {
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
    /// Tells about the sender; answered by the receiver's own heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for newer settings.
    Settings(SettingsQuery),
    /// Tells which requests ended targets; answered by what the receiver knows.
    Suspects(Vec<Suspect>),
}

/// A peer's reply.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// The receiver's own heartbeat.
    Heartbeat(Heartbeat),
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
