//! The life of the talk about requests that end targets.

use crate::{EntryNode, PeerMessage, PeerReply};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time between exchanges with one peer, which bring a VM up to date that missed some.
const PERIOD: Duration = Duration::from_secs(5);
/// Rounds in which news go to peers that have not replied.
const ROUNDS: u32 = 4;
/// Time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Tells peers at once when a request has ended a target, and exchanges what is known with one
/// peer now and then. News go to the peers of the own availability zone and those that this VM
/// speaks with; each tells on what is news to it, so that all of the fleet hears.
pub async fn share_suspects(node: &Arc<EntryNode>) {
    for turn in 0usize.. {
        let peers = node.close_peers();
        match timeout(PERIOD, node.poison().changed()).await {
            Ok(()) => tell_close(node).await,
            Err(_) => {
                let turn = turn.checked_rem(peers.len()).unwrap_or_default();
                if let Some(peer) = peers.get(turn) {
                    tell_one(node, *peer).await;
                }
            }
        }
    }
}

async fn tell_close(node: &Arc<EntryNode>) {
    let mut open = node.close_peers();
    for _ in 0..ROUNDS {
        let mut calls = JoinSet::new();
        for peer in open {
            let node = Arc::clone(node);
            calls.spawn(async move { (peer, tell_one(&node, peer).await) });
        }
        let told = calls.join_all().await;
        open = told.into_iter().filter(|(_, told)| !told).map(|(peer, _)| peer).collect();
        if open.is_empty() {
            return;
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Exchanges the newest suspects with a peer; tells whether it replied.
async fn tell_one(node: &EntryNode, peer: SocketAddr) -> bool {
    let message = PeerMessage::Suspects(node.poison().newest());
    let Ok(PeerReply::Suspects(known)) = node.ports().peers.call(peer, message).await else {
        return false;
    };
    node.poison().hear(&known);
    true
}
