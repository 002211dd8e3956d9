//! Asks a peer for a lease.

use crate::{EntryNode, LeaseAsk, LeaseGrant, LeaseItem, PeerMessage, PeerReply};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout};

/// Longest wait for a grant; a lease that comes later has hardly any time left.
const GRANT_WAIT: Duration = Duration::from_millis(800);

/// Asks a peer for a lease; gives the grant with the time at which the ask left.
pub(super) async fn ask_lease(
    node: &EntryNode,
    peer: SocketAddr,
    item: LeaseItem,
    amount: u64,
) -> Option<(LeaseGrant, Instant)> {
    let ask = LeaseAsk { amount, holder: node.lease_holder(), item };
    let asked = Instant::now();
    let call = node.ports().peers.call(peer, PeerMessage::Lease(ask));
    match timeout(GRANT_WAIT, call).await {
        Ok(Ok(PeerReply::Lease(grant))) => Some((grant, asked)),
        _ => None,
    }
}
