//! State shared by the tasks that exchange messages with peers.

use super::{ControlUsage, HeartbeatPlan, PlatformFreshness};
use crate::{Cursor, SettingsPath, TargetName, VmName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::sync::{Notify, watch};

/// How far this VM and a peer have received each other's changes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerCursors {
    /// Last change of this VM that the peer has received.
    pub(crate) acked: Cursor,
    /// Incarnation of the peer to which the cursors apply.
    pub(crate) incarnation: u64,
    /// Last change of the peer that this VM has received.
    pub(crate) received: Cursor,
}

/// Leaving targets: as this VM read them from the platform, and as peers of its zone reported
/// them.
#[derive(Debug, Default)]
pub(crate) struct LeavingTargets {
    /// Number of the last change of `own`.
    pub(crate) changed: u64,
    pub(crate) own: Option<BTreeSet<TargetName>>,
    pub(crate) reported: BTreeMap<VmName, BTreeSet<TargetName>>,
}

/// State shared by the tasks that exchange messages with peers.
#[derive(Debug)]
pub(crate) struct ExchangeState {
    /// Wakes the task that sweeps the membership and starts the tasks of peers.
    pub(crate) changed: Notify,
    pub(crate) control: ControlUsage,
    pub(crate) fetching: tokio::sync::Mutex<()>,
    /// Number of pauses of this process.
    pauses: watch::Sender<u64>,
    shared: Mutex<ExchangeData>,
}

#[derive(Debug, Default)]
pub(crate) struct ExchangeData {
    /// Digests of the peer's and of this VM's settings at the last complete fetch, by peer.
    pub(crate) fetched: BTreeMap<VmName, (u64, u64)>,
    pub(crate) cursors: BTreeMap<VmName, PeerCursors>,
    pub(crate) freshness: PlatformFreshness,
    pub(crate) leaving: LeavingTargets,
    /// Versions of settings that each peer offers and this VM has not fetched yet.
    pub(crate) offers: BTreeMap<VmName, BTreeMap<SettingsPath, u64>>,
    /// Addresses of VMs from the platform or from peers that are to be contacted.
    pub(crate) listed: BTreeSet<SocketAddr>,
    pub(crate) plan: Arc<HeartbeatPlan>,
    pub(crate) seeds: BTreeSet<SocketAddr>,
    /// Number of the last change of each settings document.
    pub(crate) settings: BTreeMap<SettingsPath, u64>,
    pub(crate) wakeups: BTreeMap<SocketAddr, Arc<Notify>>,
}

impl Default for ExchangeState {
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

impl ExchangeState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, ExchangeData> {
        self.shared.lock().expect("no holder of the exchange state's lock panics")
    }

    /// The signal on which the task of a peer sends pending changes at once.
    pub(crate) fn wakeup_for(&self, peer: SocketAddr) -> Arc<Notify> {
        Arc::clone(self.lock().wakeups.entry(peer).or_default())
    }

    pub(crate) fn wake_all(&self) {
        self.lock().wakeups.values().for_each(|signal| signal.notify_one());
    }

    pub(crate) fn record_pause(&self) {
        self.pauses.send_modify(|count| *count += 1);
    }

    pub(crate) fn watch_pauses(&self) -> watch::Receiver<u64> {
        self.pauses.subscribe()
    }
}
