//! Requests a lease from a peer.

use crate::{EntryNode, LeaseGrant, LeaseItem, LeaseRequest, PeerMessage, PeerReply};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout};

/// Timeout of a lease request. The term of a lease begins when the request is sent, so a later
/// grant would expire almost at once.
const GRANT_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests a lease from a peer. Returns the grant and the time at which the request was sent.
pub(super) async fn request_lease(
    node: &EntryNode,
    peer: SocketAddr,
    item: LeaseItem,
    amount: u64,
) -> Option<(LeaseGrant, Instant)> {
    let request = LeaseRequest { amount, holder: node.lease_holder(), item };
    let sent = Instant::now();
    let call = node.ports().peers.call(peer, PeerMessage::Lease(request));
    match timeout(GRANT_TIMEOUT, call).await {
        Ok(Ok(PeerReply::Lease(grant))) => Some((grant, sent)),
        _ => None,
    }
}
