//! Shares with peers which requests are suspected of crashing targets.

use crate::{EntryNode, PeerMessage, PeerReply};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Period of the exchange with one peer, in turn, which informs VMs that missed a notification.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of times that a change is sent to a peer that doesn't reply.
const MAX_ROUNDS: u32 = 4;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Notifies the close peers at once when the suspects change, and exchanges suspects with one close
/// peer per period. Close peers are those of the same availability zone and those with which this
/// VM exchanges heartbeats. Each VM forwards changes that are new to it, so that they reach the
/// whole fleet.
pub async fn share_suspects(node: &Arc<EntryNode>) {
    for turn in 0usize.. {
        let peers = node.gossip_peers();
        match timeout(EXCHANGE_PERIOD, node.poison().changed()).await {
            Ok(()) => notify_close_peers(node).await,
            Err(_) => {
                let turn = turn.checked_rem(peers.len()).unwrap_or_default();
                if let Some(peer) = peers.get(turn) {
                    exchange_suspects(node, *peer).await;
                }
            }
        }
    }
}

/// Sends the suspects to all close peers, and repeats this for those that don't reply.
async fn notify_close_peers(node: &Arc<EntryNode>) {
    let mut pending = node.gossip_peers();
    for _ in 0..MAX_ROUNDS {
        let mut calls = JoinSet::new();
        for peer in pending {
            let node = Arc::clone(node);
            calls.spawn(async move { (peer, exchange_suspects(&node, peer).await) });
        }
        let results = calls.join_all().await;
        pending =
            results.into_iter().filter(|(_, replied)| !replied).map(|(peer, _)| peer).collect();
        if pending.is_empty() {
            return;
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Exchanges the newest suspects with a peer. Returns whether it replied.
async fn exchange_suspects(node: &EntryNode, peer: SocketAddr) -> bool {
    let message = PeerMessage::Suspects(node.poison().newest());
    let Ok(PeerReply::Suspects(known)) = node.ports().peers.call(peer, message).await else {
        return false;
    };
    node.poison().merge(&known);
    true
}
