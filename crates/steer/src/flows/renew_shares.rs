//! Renews this VM's shares of links and shifts, and carries the shifts along their ramps.

use super::ask_lease::ask_lease;
use crate::{
    EntryNode, LeaseAsk, LeaseItem, ShareKey, ShareTotal, ShiftStatus, VmName, VmState,
    choose_by_hash,
};
use futures_util::future::join_all;
use slog::{info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between two renewals.
const PERIOD: Duration = Duration::from_millis(250);

/// Renews shares and steps shifts until the VM has stopped.
pub async fn renew_shares(node: &EntryNode) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while node.state() != VmState::Stopped {
        ticks.tick().await;
        for status in node.step_shifts() {
            tell(node, &status);
        }
        let roster = node.region_roster();
        if node.share_keys().is_empty() || roster.is_empty() {
            continue;
        }
        let Some(coordinator) = coordinator(node, &roster) else { continue };
        if coordinator == node.vm().name {
            canvass(node, &roster).await;
        }
        if let Some(address) = roster.get(&coordinator) {
            let keys = node.share_keys();
            let renewals = keys.iter().map(|k| renew(node, k, &coordinator, *address, &roster));
            join_all(renewals).await;
        }
    }
}

/// The VM that this one asks for shares: the one that has its vote, so that a coordinator stays
/// in office when another VM comes; else the one that all VMs with the same view choose.
pub(super) fn coordinator(
    node: &EntryNode,
    roster: &BTreeMap<VmName, SocketAddr>,
) -> Option<VmName> {
    let now = Instant::now();
    let names: BTreeSet<VmName> = roster.keys().cloned().collect();
    let voted = {
        let mut shares = node.zones().shares();
        if shares.is_coordinator(&names, now) && node.state().accepts_work() {
            return Some(node.vm().name.clone());
        }
        shares.voted_for(now).map(|holder| holder.vm.clone())
    };
    let region = &node.vm().region;
    let mut serving: BTreeSet<VmName> = node.with_members(|members| {
        let ours = members.serving(now).filter(|p| p.vm.region == *region);
        ours.map(|p| p.vm.name.clone()).collect()
    });
    if node.state().accepts_work() {
        serving.insert(node.vm().name.clone());
    }
    let voted = voted.filter(|name| serving.contains(name));
    voted.or_else(|| choose_by_hash(region, &serving).cloned())
}

/// Asks the region's entry VMs, this one too, for their votes.
async fn canvass(node: &EntryNode, roster: &BTreeMap<VmName, SocketAddr>) {
    let names: BTreeSet<VmName> = roster.keys().cloned().collect();
    let asks = roster.iter().map(async |(name, address)| {
        let answer = if *name == node.vm().name {
            let asked = Instant::now();
            Some((node.zones().shares().vote(node.lease_holder(), asked), asked))
        } else {
            ask_lease(node, *address, LeaseItem::Vote, 1).await
        };
        if let Some((grant, asked)) = answer {
            let mut shares = node.zones().shares();
            shares.note_vote(name.clone(), grant, &names, asked, Instant::now());
        }
    });
    join_all(asks).await;
}

async fn renew(
    node: &EntryNode,
    key: &ShareKey,
    coordinator: &VmName,
    address: SocketAddr,
    roster: &BTreeMap<VmName, SocketAddr>,
) {
    let total = ShareTotal::read(&node.snapshot(), key, roster.len() as u64);
    let asked = Instant::now();
    let want = node.zones().shares().want(key, total, asked);
    let item = LeaseItem::Share(key.clone());
    let answer = if *coordinator == node.vm().name {
        let ask = LeaseAsk { amount: want, holder: node.lease_holder(), item };
        Some((node.answer_lease(ask), asked))
    } else {
        ask_lease(node, address, item, want).await
    };
    if let Some((grant, asked)) = answer {
        node.zones().shares().hold(key, grant, asked);
    }
}

/// Says in the log where a shift stands now.
fn tell(node: &EntryNode, status: &ShiftStatus) {
    let ShiftStatus { from, moving, phase, service, to, .. } = status;
    let moving = format!("{moving:.3}");
    if phase.is_trouble() {
        warn!(node.log(), "shift: {}", phase;
            "service" => %service, "from" => %from, "to" => %to, "moving" => moving);
        return;
    }
    info!(node.log(), "shift: {}", phase;
        "service" => %service, "from" => %from, "to" => %to, "moving" => moving);
}
