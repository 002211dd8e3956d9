//! The life of the look at who is in the fleet.

use super::{Backoff, talk_to_peer};
use crate::{
    AvailabilityZoneName, EntryNode, PeerMessage, PlatformVm, TargetName, VmKindTag, VmState,
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

/// Time between two looks at who was heard.
const SWEEP: Duration = Duration::from_millis(100);
/// Time between two looks at the platform's list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two reports of the control traffic.
const METER_PERIOD: Duration = Duration::from_secs(10);
/// Longest time that peers get to take an announcement.
const TELL_WAIT: Duration = Duration::from_millis(500);
/// VMs of a zone without a known live VM that are tried.
const TRIED: usize = 2;

/// Judges the peers again and again, and runs a talk with each that the plan names, with the
/// seeds while nobody is known, and with listed VMs that are not known yet.
pub async fn watch_vms(node: &Arc<EntryNode>) {
    let mut talks: JoinSet<()> = JoinSet::new();
    let mut running: BTreeMap<SocketAddr, AbortHandle> = BTreeMap::new();
    let mut state = node.watch_state();
    let mut ticks = interval(SWEEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let reader = Arc::clone(node);
    talks.spawn(async move { read_lists(&reader).await });
    let mut metered = Instant::now();
    loop {
        if metered.elapsed() >= METER_PERIOD {
            node.meter_control();
            metered = Instant::now();
        }
        tokio::select! {
            biased;
            _ = ticks.tick() => {}
            () = node.talk().changed.notified() => {}
            Ok(()) = state.changed() => node.announce(),
        }
        let plan = node.sweep();
        while talks.try_join_next().is_some() {}
        running.retain(|_, talk| !talk.is_finished());
        for peer in plan.periods.keys().copied().chain(node.strangers()) {
            running.entry(peer).or_insert_with(|| {
                let node = Arc::clone(node);
                talks.spawn(async move { talk_to_peer(&node, peer).await })
            });
        }
    }
}

/// Reads the platform's list while this VM speaks for its zone or joins.
async fn read_lists(node: &Arc<EntryNode>) {
    let mut backoff = Backoff::new(node.vm().name.as_str());
    sleep(backoff.start()).await;
    loop {
        if !node.is_delegate() && node.state() != VmState::Joining {
            sleep(SWEEP).await;
            continue;
        }
        let pause = match node.ports().platform.vms().await {
            Ok(vms) => {
                node.note_leaving(leaving_targets(&vms, &node.vm().zone));
                node.set_strangers(strangers(node, &vms));
                backoff.reset();
                LIST_PERIOD
            }
            Err(error) => {
                warn!(node.log(), "membership: no list of VMs"; "reason" => %error);
                backoff.fail()
            }
        };
        sleep(pause).await;
    }
}

fn leaving_targets(vms: &[PlatformVm], zone: &AvailabilityZoneName) -> BTreeSet<TargetName> {
    vms.iter()
        .filter(|vm| vm.kind == VmKindTag::Target && vm.leaving && vm.zone == *zone)
        .map(|vm| TargetName::from(&*vm.name))
        .collect()
}

/// Listed entry VMs to get to know: those of this zone, and some of each zone of which no VM is
/// known to live.
fn strangers(node: &EntryNode, vms: &[PlatformVm]) -> BTreeSet<SocketAddr> {
    let peers = node.peers();
    let zones: BTreeSet<_> = peers.iter().map(|p| &p.vm.zone).collect();
    let known: BTreeSet<_> = peers.iter().map(|p| p.vm.addresses.peers).collect();
    let own = node.vm();
    let mut tried: BTreeMap<&AvailabilityZoneName, usize> = BTreeMap::new();
    let new = |vm: &&PlatformVm| {
        vm.kind == VmKindTag::Entry
            && !known.contains(&vm.address)
            && vm.address != own.addresses.peers
    };
    let mut wanted = BTreeSet::new();
    for vm in vms.iter().filter(new) {
        let count = tried.entry(&vm.zone).or_default();
        let unknown = !zones.contains(&vm.zone) && *count < TRIED;
        if vm.zone == own.zone || unknown {
            *count += 1;
            wanted.insert(vm.address);
        }
    }
    wanted
}

/// Tells all peers of the plan what changed, at once and together; gives up on those that don't
/// reply in time.
pub async fn tell_all(node: &Arc<EntryNode>) {
    let mut calls = JoinSet::new();
    for peer in node.plan().periods.keys().filter_map(|peer| node.peer_at(*peer)) {
        let node = Arc::clone(node);
        calls.spawn(async move {
            let message = PeerMessage::Exchange(node.exchange_for(&peer.vm));
            drop(node.ports().peers.call(peer.vm.addresses.peers, message).await);
        });
    }
    let all = async { while calls.join_next().await.is_some() {} };
    drop(timeout(TELL_WAIT, all).await);
}

impl EntryNode {
    /// Time between heartbeats to a peer; `None` where this VM has no reason to talk to it.
    pub(super) fn period_to(&self, peer: SocketAddr) -> Option<Duration> {
        if self.state() == VmState::Stopped {
            return None;
        }
        let plan = self.plan();
        let stranger = || self.strangers().contains(&peer).then_some(LIST_PERIOD / 2);
        plan.periods.get(&peer).copied().or_else(stranger)
    }
}
