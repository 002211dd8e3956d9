//! Renews this VM's shares of link and shift limits, and advances the shifts along their ramps.

use super::request_lease::request_lease;
use crate::{
    EntryNode, LeaseItem, LeaseRequest, ShareKey, ShareTotal, ShiftStatus, VmName, VmState,
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

/// Period of the renewals.
const PERIOD: Duration = Duration::from_millis(250);

/// Renews shares and advances shifts until the VM has stopped.
pub async fn renew_shares(node: &EntryNode) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while node.state() != VmState::Stopped {
        ticks.tick().await;
        for status in node.advance_shifts() {
            log_shift(node, &status);
        }
        let voters = node.region_voters();
        if node.share_keys().is_empty() || voters.is_empty() {
            continue;
        }
        let Some(coordinator) = coordinator(node, &voters) else { continue };
        if coordinator == node.vm().name {
            request_votes(node, &voters).await;
        }
        if let Some(address) = voters.get(&coordinator) {
            let keys = node.share_keys();
            let renewals = keys.iter().map(|k| renew(node, k, &coordinator, *address, &voters));
            join_all(renewals).await;
        }
    }
}

/// Returns the VM from which this one requests shares. This is the VM that holds its vote, so that
/// a coordinator keeps its role when another VM joins; otherwise the one chosen by hash, which is
/// the same on all VMs with the same view of the membership.
pub(super) fn coordinator(
    node: &EntryNode,
    voters: &BTreeMap<VmName, SocketAddr>,
) -> Option<VmName> {
    let now = Instant::now();
    let names: BTreeSet<VmName> = voters.keys().cloned().collect();
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

/// Requests the votes of the region's entry VMs, including this one.
async fn request_votes(node: &EntryNode, voters: &BTreeMap<VmName, SocketAddr>) {
    let names: BTreeSet<VmName> = voters.keys().cloned().collect();
    let requests = voters.iter().map(async |(name, address)| {
        let reply = if *name == node.vm().name {
            let sent = Instant::now();
            Some((node.zones().shares().vote(node.lease_holder(), sent), sent))
        } else {
            request_lease(node, *address, LeaseItem::Vote, 1).await
        };
        if let Some((grant, sent)) = reply {
            let mut shares = node.zones().shares();
            shares.record_vote(name.clone(), grant, &names, sent, Instant::now());
        }
    });
    join_all(requests).await;
}

async fn renew(
    node: &EntryNode,
    key: &ShareKey,
    coordinator: &VmName,
    address: SocketAddr,
    voters: &BTreeMap<VmName, SocketAddr>,
) {
    let total = ShareTotal::read(&node.snapshot(), key, voters.len() as u64);
    let sent = Instant::now();
    let amount = node.zones().shares().prepare_request(key, total, sent);
    let item = LeaseItem::Share(key.clone());
    let reply = if *coordinator == node.vm().name {
        let request = LeaseRequest { amount, holder: node.lease_holder(), item };
        Some((node.answer_lease(request), sent))
    } else {
        request_lease(node, address, item, amount).await
    };
    if let Some((grant, sent)) = reply {
        node.zones().shares().store_lease(key, grant, sent);
    }
}

/// Logs the new phase of a shift.
fn log_shift(node: &EntryNode, status: &ShiftStatus) {
    let ShiftStatus { from, moving, phase, service, to, .. } = status;
    let moving = format!("{moving:.3}");
    if phase.is_blocked() {
        warn!(node.log(), "shift: {}", phase;
            "service" => %service, "from" => %from, "to" => %to, "moving" => moving);
        return;
    }
    info!(node.log(), "shift: {}", phase;
        "service" => %service, "from" => %from, "to" => %to, "moving" => moving);
}
