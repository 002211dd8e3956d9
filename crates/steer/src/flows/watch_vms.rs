//! Maintains the fleet's membership and runs the exchanges with peers.

use super::{Backoff, exchange_with_peer};
use crate::{
    AvailabilityZoneName, EntryNode, PeerMessage, PlatformVm, TargetName, VmRole, VmState,
};
use slog::warn;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

/// Period of the liveness check of the peers.
const SWEEP_PERIOD: Duration = Duration::from_millis(100);
/// Period at which the platform's list of VMs is read.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Period at which metrics of the control traffic are published.
const METER_PERIOD: Duration = Duration::from_secs(10);
/// Maximum time that an announcement waits for the peers' replies.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of VMs that are contacted in a zone without a known live VM.
const MAX_TRIED_PER_ZONE: usize = 2;

/// Checks the peers' liveness periodically, and runs one task per peer that exchanges heartbeats:
/// with the peers in the plan, with the seeds while no peer is known, and with VMs from the
/// platform's list that aren't known yet.
pub async fn watch_vms(node: &Arc<EntryNode>) {
    let mut sessions: JoinSet<()> = JoinSet::new();
    let mut running: BTreeMap<SocketAddr, AbortHandle> = BTreeMap::new();
    let mut state = node.watch_state();
    let mut ticks = interval(SWEEP_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let reader = Arc::clone(node);
    sessions.spawn(async move { poll_vm_list(&reader).await });
    let mut last_metered = Instant::now();
    loop {
        if last_metered.elapsed() >= METER_PERIOD {
            node.report_control_usage();
            last_metered = Instant::now();
        }
        tokio::select! {
            biased;
            _ = ticks.tick() => {}
            () = node.exchange_state().changed.notified() => {}
            Ok(()) = state.changed() => node.send_pending_changes(),
        }
        let plan = node.sweep_peers();
        while sessions.try_join_next().is_some() {}
        running.retain(|_, session| !session.is_finished());
        for peer in plan.periods.keys().copied().chain(node.unknown_peers()) {
            running.entry(peer).or_insert_with(|| {
                let node = Arc::clone(node);
                sessions.spawn(async move { exchange_with_peer(&node, peer).await })
            });
        }
    }
}

/// Reads the platform's list of VMs while this VM is its zone's delegate or is joining.
async fn poll_vm_list(node: &Arc<EntryNode>) {
    let mut backoff = Backoff::new(node.vm().name.as_str());
    sleep(backoff.initial_pause()).await;
    loop {
        if !node.is_delegate() && node.state() != VmState::Joining {
            sleep(SWEEP_PERIOD).await;
            continue;
        }
        let pause = match node.ports().platform.vms().await {
            Ok(vms) => {
                node.set_listed_leaving(leaving_targets(&vms, &node.vm().zone));
                node.set_unknown_peers(unknown_vms(node, &vms));
                backoff.reset();
                LIST_PERIOD
            }
            Err(error) => {
                warn!(node.log(), "membership: can't read the list of VMs"; "reason" => %error);
                backoff.next_pause()
            }
        };
        sleep(pause).await;
    }
}

/// Returns the targets of a zone that the platform lists as leaving.
fn leaving_targets(vms: &[PlatformVm], zone: &AvailabilityZoneName) -> BTreeSet<TargetName> {
    vms.iter()
        .filter(|vm| vm.kind == VmRole::Target && vm.leaving && vm.zone == *zone)
        .map(|vm| TargetName::from(&*vm.name))
        .collect()
}

/// Returns the listed entry VMs to contact: those of this zone, and a few in each zone of which no
/// live VM is known.
fn unknown_vms(node: &EntryNode, vms: &[PlatformVm]) -> BTreeSet<SocketAddr> {
    let peers = node.peers();
    let zones: BTreeSet<_> = peers.iter().map(|p| &p.vm.zone).collect();
    let known: BTreeSet<_> = peers.iter().map(|p| p.vm.addresses.peers).collect();
    let own = node.vm();
    let mut tried: BTreeMap<&AvailabilityZoneName, usize> = BTreeMap::new();
    let is_new = |vm: &&PlatformVm| {
        vm.kind == VmRole::Entry
            && !known.contains(&vm.address)
            && vm.address != own.addresses.peers
    };
    let mut contacts = BTreeSet::new();
    for vm in vms.iter().filter(is_new) {
        let count = tried.entry(&vm.zone).or_default();
        let unknown = !zones.contains(&vm.zone) && *count < MAX_TRIED_PER_ZONE;
        if vm.zone == own.zone || unknown {
            *count += 1;
            contacts.insert(vm.address);
        }
    }
    contacts
}

/// Sends an exchange to all peers in the plan concurrently, without waiting for their next
/// heartbeat. Cancels the calls to peers that don't reply in time.
pub async fn announce_to_peers(node: &Arc<EntryNode>) {
    let mut calls = JoinSet::new();
    for peer in node.heartbeat_plan().periods.keys().filter_map(|peer| node.peer_at(*peer)) {
        let node = Arc::clone(node);
        calls.spawn(async move {
            let message = PeerMessage::Exchange(node.exchange_for(&peer.vm));
            drop(node.ports().peers.call(peer.vm.addresses.peers, message).await);
        });
    }
    let all = async { while calls.join_next().await.is_some() {} };
    drop(timeout(ANNOUNCE_TIMEOUT, all).await);
}

impl EntryNode {
    /// Returns the period of the heartbeats to a peer; `None` if there is no need to contact it.
    pub(super) fn period_to(&self, peer: SocketAddr) -> Option<Duration> {
        if self.state() == VmState::Stopped {
            return None;
        }
        let plan = self.heartbeat_plan();
        let unknown = || self.unknown_peers().contains(&peer).then_some(LIST_PERIOD / 2);
        plan.periods.get(&peer).copied().or_else(unknown)
    }
}
