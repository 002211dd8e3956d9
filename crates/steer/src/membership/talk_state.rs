//! What the talks with peers share.

use super::{ControlUsage, Knowledge, TalkPlan};
use crate::{Cursor, SettingsPath, TargetName, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::sync::{Notify, watch};

/// How far two VMs have told each other their changes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerCursors {
    pub(crate) acked: Cursor,
    pub(crate) incarnation: u64,
    pub(crate) seen: Cursor,
}

/// Leaving targets as this VM lists them and as peers of its zone tell them.
#[derive(Debug, Default)]
pub(crate) struct LeavingNews {
    pub(crate) changed: u64,
    pub(crate) own: Option<BTreeSet<TargetName>>,
    pub(crate) told: BTreeMap<VmName, BTreeSet<TargetName>>,
}

/// What the talks with peers share.
#[derive(Debug)]
pub(crate) struct TalkState {
    pub(crate) changed: Notify,
    pub(crate) control: ControlUsage,
    pub(crate) fetching: tokio::sync::Mutex<()>,
    pauses: watch::Sender<u64>,
    shared: Mutex<Shared>,
}

#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) compared: BTreeMap<VmName, (u64, u64)>,
    pub(crate) cursors: BTreeMap<VmName, PeerCursors>,
    pub(crate) knowledge: Knowledge,
    pub(crate) leaving: LeavingNews,
    pub(crate) offers: BTreeMap<VmName, BTreeMap<SettingsPath, u64>>,
    pub(crate) listed: BTreeSet<SocketAddr>,
    pub(crate) plan: Arc<TalkPlan>,
    pub(crate) seeds: BTreeSet<SocketAddr>,
    pub(crate) settings: BTreeMap<SettingsPath, u64>,
    pub(crate) wakes: BTreeMap<SocketAddr, Arc<Notify>>,
}

impl Default for TalkState {
    fn default() -> Self {
        Self {
            changed: Notify::new(),
            control: ControlUsage::default(),
            fetching: tokio::sync::Mutex::default(),
            pauses: watch::Sender::new(0),
            shared: Mutex::default(),
        }
    }
}

impl TalkState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder of the talks' lock panics")
    }

    /// The signal that makes the talk with a peer say at once what changed.
    pub(crate) fn wake_of(&self, peer: SocketAddr) -> Arc<Notify> {
        Arc::clone(self.lock().wakes.entry(peer).or_default())
    }

    pub(crate) fn wake_all(&self) {
        self.lock().wakes.values().for_each(|wake| wake.notify_one());
    }

    pub(crate) fn note_pause(&self) {
        self.pauses.send_modify(|count| *count += 1);
    }

    pub(crate) fn watch_pauses(&self) -> watch::Receiver<u64> {
        self.pauses.subscribe()
    }
}
