//! The life of the talk with one peer.

use crate::{EntryNode, EntryVm, Exchange, PeerError, PeerMessage, PeerReply, SettingsQuery};
use slog::{info, warn};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    select,
    time::{Instant, sleep_until},
};

/// Failures in a row after which the talk slows down.
const SLOW_AFTER: u32 = 4;
/// Time between heartbeats to a peer that does not reply.
const SLOW_PERIOD: Duration = Duration::from_secs(3);
/// Shortest time between two heartbeats to a peer.
const SHORTEST_GAP: Duration = Duration::from_millis(20);

/// Exchanges heartbeats with one peer, and settings where they differ, for as long as the plan
/// says so. `period` is the time between heartbeats to a peer that is not in the plan yet.
pub async fn talk_to_peer(node: &EntryNode, peer: SocketAddr) {
    let wake = node.wake_of(peer);
    let mut talk = Talk { differs: 0, failures: 0, introduced: false };
    let mut at = Instant::now();
    while let Some(period) = node.period_to(peer) {
        let urgent = select! {
            biased;
            () = wake.notified() => true,
            () = sleep_until(at) => false,
        };
        if !urgent && talk.introduced && talk.failures == 0 && heard_lately(node, peer, period) {
            at = Instant::now() + period / 2;
            continue;
        }
        match talk.beat(node, peer).await {
            Ok(()) => {
                if talk.failures > 0 {
                    info!(node.log(), "peers: reached again"; "peer" => %peer);
                }
                talk.failures = 0;
            }
            Err(error) => {
                talk.failures += 1;
                if talk.failures == 1 {
                    warn!(node.log(), "peers: no reply"; "peer" => %peer, "reason" => %error);
                }
            }
        }
        let slow = talk.failures > SLOW_AFTER;
        at = Instant::now() + if slow { SLOW_PERIOD } else { period };
        tokio::time::sleep(SHORTEST_GAP).await;
    }
}

/// The peer itself has begun an exchange lately, so that this VM need not.
fn heard_lately(node: &EntryNode, peer: SocketAddr, period: Duration) -> bool {
    node.peer_at(peer).is_some_and(|p| {
        let silence = Instant::now().duration_since(p.heard_direct());
        p.vm.name < node.vm().name && silence < period
    })
}

#[derive(Debug)]
struct Talk {
    differs: u32,
    failures: u32,
    introduced: bool,
}

impl Talk {
    async fn beat(&mut self, node: &EntryNode, peer: SocketAddr) -> Result<(), PeerError> {
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
                let more = reply.members.len() >= crate::MembershipTable::MAX_NEWS;
                node.take_exchange(reply).map_err(|e| PeerError::Invalid(e.to_string()))?;
                if more {
                    node.wake_of(peer).notify_one();
                }
                self.fetch(node, peer, digest).await;
                Ok(())
            }
            Err(PeerError::Refused(reason)) => {
                self.introduced = false;
                node.restart_talk(peer);
                node.wake_of(peer).notify_one();
                Err(PeerError::Refused(reason))
            }
            Err(error) => Err(error),
        }
    }

    /// Makes this VM and the peer known to each other.
    async fn introduce(&mut self, node: &EntryNode, peer: SocketAddr) -> Result<(), PeerError> {
        let message = PeerMessage::Heartbeat(node.heartbeat());
        let beat = match node.ports().peers.call(peer, message).await? {
            PeerReply::Heartbeat(beat) => beat,
            other => {
                return Err(PeerError::Invalid(format!("expected a heartbeat, got {other:?}")));
            }
        };
        let digest = beat.digest;
        node.meet(beat).map_err(|e| PeerError::Invalid(e.to_string()))?;
        self.introduced = true;
        node.wake_of(peer).notify_one();
        self.differs = 1;
        self.fetch(node, peer, digest).await;
        Ok(())
    }

    /// Fetches what the peer offered; where nothing was offered and the digests differ for
    /// longer than a heartbeat, all that is newer there.
    async fn fetch(&mut self, node: &EntryNode, peer: SocketAddr, digest: u64) {
        let Some(record) = node.peer_at(peer) else { return };
        if node.has_offers(&record) {
            let _one = node.talk().fetching.lock().await;
            if let Some(query) = node.offered_by(&record) {
                fetch_settings(node, peer, query).await;
            }
        }
        if node.is_compared(&record.vm.name, digest) {
            self.differs = 0;
            return;
        }
        self.differs += 1;
        if self.differs > 1 {
            let _one = node.talk().fetching.lock().await;
            if fetch_settings(node, peer, node.settings_query()).await {
                node.note_compared(&record.vm.name, digest);
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

/// Asks a peer for settings and offers them to this VM; tells whether the peer replied.
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
