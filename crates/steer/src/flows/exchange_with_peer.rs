//! Exchanges heartbeats and settings with one peer.

use crate::{EntryNode, EntryVm, Exchange, PeerError, PeerMessage, PeerReply, SettingsQuery};
use slog::{info, warn};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    select,
    time::{Instant, sleep_until},
};

/// Consecutive failures after which heartbeats slow down.
const SLOW_AFTER: u32 = 4;
/// Period of the heartbeats to a peer that doesn't reply.
const SLOW_PERIOD: Duration = Duration::from_secs(3);
/// Minimum pause between two heartbeats to a peer.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Exchanges heartbeats with one peer, and settings if they differ, until this VM no longer needs
/// to contact the peer.
pub async fn exchange_with_peer(node: &EntryNode, peer: SocketAddr) {
    let wake = node.wakeup_for(peer);
    let mut session = PeerSession { mismatches: 0, failures: 0, introduced: false };
    let mut next_heartbeat = Instant::now();
    while let Some(period) = node.period_to(peer) {
        let urgent = select! {
            biased;
            () = wake.notified() => true,
            () = sleep_until(next_heartbeat) => false,
        };
        if !urgent
            && session.introduced
            && session.failures == 0
            && peer_began_exchange(node, peer, period)
        {
            next_heartbeat = Instant::now() + period / 2;
            continue;
        }
        match session.send_heartbeat(node, peer).await {
            Ok(()) => {
                if session.failures > 0 {
                    info!(node.log(), "peers: replies again"; "peer" => %peer);
                }
                session.failures = 0;
            }
            Err(error) => {
                session.failures += 1;
                if session.failures == 1 {
                    warn!(node.log(), "peers: no reply"; "peer" => %peer, "reason" => %error);
                }
            }
        }
        let is_slow = session.failures > SLOW_AFTER;
        next_heartbeat = Instant::now() + if is_slow { SLOW_PERIOD } else { period };
        tokio::time::sleep(MIN_PAUSE).await;
    }
}

/// Returns whether the peer began an exchange within the period, so that this VM can skip its own.
/// Of two peers, only the one with the higher name skips exchanges.
fn peer_began_exchange(node: &EntryNode, peer: SocketAddr, period: Duration) -> bool {
    node.peer_at(peer).is_some_and(|p| {
        let silence = Instant::now().duration_since(p.last_contact());
        p.vm.name < node.vm().name && silence < period
    })
}

/// State of the exchange with one peer.
#[derive(Debug)]
struct PeerSession {
    mismatches: u32,
    failures: u32,
    introduced: bool,
}

impl PeerSession {
    async fn send_heartbeat(
        &mut self,
        node: &EntryNode,
        peer: SocketAddr,
    ) -> Result<(), PeerError> {
        let known = node.peer_at(peer).map(|record| record.vm);
        let Some(vm) = known.filter(|_| self.introduced) else {
            self.introduce(node, peer).await?;
            return Ok(());
        };
        match exchange(node, peer, &vm).await {
            Ok(reply) => {
                let (from, digest) = (reply.from.clone(), reply.digest);
                if from != vm.name || reply.incarnation != vm.incarnation {
                    self.introduced = false;
                    return Err(PeerError::Invalid(format!("{from} replied for {}", vm.name)));
                }
                let has_more = reply.members.len() >= crate::MembershipTable::MAX_UPDATES;
                node.apply_exchange(reply).map_err(|e| PeerError::Invalid(e.to_string()))?;
                if has_more {
                    node.wakeup_for(peer).notify_one();
                }
                self.fetch(node, peer, digest).await;
                Ok(())
            }
            Err(PeerError::Refused(reason)) => {
                self.introduced = false;
                node.reset_cursor(peer);
                node.wakeup_for(peer).notify_one();
                Err(PeerError::Refused(reason))
            }
            Err(error) => Err(error),
        }
    }

    /// Exchanges full heartbeats, from which this VM and the peer learn each other's identity.
    async fn introduce(&mut self, node: &EntryNode, peer: SocketAddr) -> Result<(), PeerError> {
        let message = PeerMessage::Heartbeat(node.heartbeat());
        let beat = match node.ports().peers.call(peer, message).await? {
            PeerReply::Heartbeat(beat) => beat,
            other => {
                return Err(PeerError::Invalid(format!("expected a heartbeat, got {other:?}")));
            }
        };
        let digest = beat.digest;
        node.apply_heartbeat(beat).map_err(|e| PeerError::Invalid(e.to_string()))?;
        self.introduced = true;
        node.wakeup_for(peer).notify_one();
        self.mismatches = 1;
        self.fetch(node, peer, digest).await;
        Ok(())
    }

    /// Fetches the settings that the peer offered. If the digests of the settings differ in more
    /// than one heartbeat in a row, fetches all settings that are newer on the peer.
    async fn fetch(&mut self, node: &EntryNode, peer: SocketAddr, digest: u64) {
        let Some(record) = node.peer_at(peer) else { return };
        if node.has_offers(&record) {
            let _guard = node.exchange_state().fetching.lock().await;
            if let Some(query) = node.take_offers(&record) {
                fetch_settings(node, peer, query).await;
            }
        }
        if node.has_fetched_settings(&record.vm.name, digest) {
            self.mismatches = 0;
            return;
        }
        self.mismatches += 1;
        if self.mismatches > 1 {
            let _guard = node.exchange_state().fetching.lock().await;
            if fetch_settings(node, peer, node.settings_query()).await {
                node.record_settings_fetched(&record.vm.name, digest);
            }
        }
    }
}

async fn exchange(node: &EntryNode, peer: SocketAddr, vm: &EntryVm) -> Result<Exchange, PeerError> {
    let message = PeerMessage::Exchange(node.exchange_for(vm));
    match node.ports().peers.call(peer, message).await? {
        PeerReply::Exchange(reply) => Ok(reply),
        other => Err(PeerError::Invalid(format!("expected an exchange, got {other:?}"))),
    }
}

/// Requests settings from a peer and offers them to this VM. Returns whether the peer replied.
async fn fetch_settings(node: &EntryNode, peer: SocketAddr, query: SettingsQuery) -> bool {
    let message = PeerMessage::Settings(query);
    let Ok(PeerReply::Settings(batch)) = node.ports().peers.call(peer, message).await else {
        return false;
    };
    for document in &batch.documents {
        node.offer_settings(document);
    }
    true
}
