//! The life of the talk with one peer.

use crate::{EntryNode, Heartbeat, PeerError, PeerMessage, PeerReply, VmState};
use slog::{info, warn};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// Time between heartbeats.
const PERIOD: Duration = Duration::from_millis(500);
/// Heartbeats without a reply after which the talk ends; a peer that comes back is listed again.
const GIVE_UP: u32 = 20;

/// Exchanges heartbeats with one peer, and settings where they differ, until the peer is gone.
pub async fn talk_to_peer(node: &EntryNode, peer: SocketAddr) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    while failures < GIVE_UP && node.state() != VmState::Stopped {
        ticks.tick().await;
        match beat(node, peer).await {
            Ok(theirs) => {
                if failures > 0 {
                    info!(node.log(), "peers: reached again"; "peer" => %peer);
                }
                failures = 0;
                if theirs.digest != node.heartbeat().digest {
                    fetch_settings(node, peer).await;
                }
                node.hear(theirs);
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    warn!(node.log(), "peers: no reply"; "peer" => %peer, "reason" => %error);
                }
            }
        }
    }
}

async fn beat(node: &EntryNode, peer: SocketAddr) -> Result<Heartbeat, PeerError> {
    let message = PeerMessage::Heartbeat(node.heartbeat());
    match node.ports().peers.call(peer, message).await? {
        PeerReply::Heartbeat(beat) => Ok(beat),
        other => Err(PeerError::Invalid(format!("expected a heartbeat, got {other:?}"))),
    }
}

async fn fetch_settings(node: &EntryNode, peer: SocketAddr) {
    let message = PeerMessage::Settings(node.settings_query());
    if let Ok(PeerReply::Settings(batch)) = node.ports().peers.call(peer, message).await {
        for document in &batch.documents {
            node.offer_settings(document);
        }
    }
}
