//! Polls the delegates of this VM's region for changes in the store.

use crate::{
    ObjectCache, ObjectHash, ObjectTransfers, PeerError, Router, UpdatePeers, UpdateQuery,
    UpdateReply,
};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, error::Elapsed, sleep, timeout};

/// Maximum time that a delegate delays a reply while there are no changes.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Additional time for the reply to arrive: a few round trips inside a region.
const REPLY_GRACE: Duration = Duration::from_millis(300);
/// Timeout for a part of a large object. At this pace an object of the store's maximum size takes
/// longer than a change may, but the transfer goes on.
const PART_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause while there is no delegate to poll.
const IDLE_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a delegate that failed is not polled again.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// Polls delegates for the life of the process, except while this VM reads the store itself.
///
/// Large objects follow in parts, with a poll before each part, so that a slow transfer delays no
/// other news.
pub async fn poll_delegates(
    router: Arc<Router>,
    cache: Arc<ObjectCache>,
    peers: Arc<dyn UpdatePeers>,
) {
    let mut failed: BTreeMap<SocketAddr, Instant> = BTreeMap::new();
    let mut transfers = ObjectTransfers::default();
    loop {
        failed.retain(|_, at| at.elapsed() < FAILURE_PAUSE);
        let revisions = cache.revisions();
        let delegate = choose_delegate(&router, &failed).filter(|_| !revisions.is_empty());
        let Some(delegate) = delegate else {
            sleep(IDLE_PAUSE).await;
            continue;
        };
        let wait = if transfers.is_empty() { POLL_WAIT } else { Duration::ZERO };
        let query = UpdateQuery { parts: true, revisions, wait };
        let answer = timeout(wait + REPLY_GRACE, peers.poll_updates(delegate, &query)).await;
        let result = match check_reply(answer, &query) {
            Ok(reply) => {
                cache.apply_reply(&query, transfers.accept(&query, reply));
                receive_part(&router, &cache, &*peers, delegate, &mut transfers).await
            }
            Err(reason) => Err(reason),
        };
        if let Err(reason) = result {
            router.ports().meter.count("relay.failed", 1);
            info!(router.log(), "relay: no news from a delegate"; "peer" => %delegate,
                "reason" => reason);
            failed.insert(delegate, Instant::now());
        }
    }
}

/// Receives the next part of a large object, if one is pending.
async fn receive_part(
    router: &Router,
    cache: &ObjectCache,
    peers: &dyn UpdatePeers,
    delegate: SocketAddr,
    transfers: &mut ObjectTransfers,
) -> Result<(), String> {
    let Some(query) = transfers.next_part() else { return Ok(()) };
    let at = || format!("byte {} of {} of {}", query.offset, query.object.size, query.object.name);
    let part = match timeout(PART_TIMEOUT, peers.fetch_part(delegate, &query)).await {
        Ok(Ok(part)) => part,
        Ok(Err(error)) => {
            if matches!(error, PeerError::Refused(_)) {
                transfers.discard(&query.kind);
            }
            return Err(format!("{error}, at {}", at()));
        }
        Err(elapsed) => return Err(format!("{elapsed}, at {}", at())),
    };
    let completed = transfers.add_part(&query, &part).map_err(|e| format!("{e}, at {}", at()))?;
    cache.record_part(&query.kind);
    router.ports().meter.count("relay.parts", 1);
    let Some(transfer) = completed else { return Ok(()) };
    info!(router.log(), "relay: large objects received"; "peer" => %delegate,
        "kind" => &*transfer.kind, "bytes" => transfer.bytes,
        "revision" => transfer.update.batch.revision,
        "after_ms" => u64::try_from(transfer.time.as_millis()).unwrap_or(u64::MAX));
    cache.apply_reply(&transfer.query, [(transfer.kind, transfer.update)].into());
    Ok(())
}

/// Returns the delegate to poll, chosen so that a region's VMs spread over its delegates; `None` if
/// there is none or this VM reads the store itself.
fn choose_delegate(router: &Router, failed: &BTreeMap<SocketAddr, Instant>) -> Option<SocketAddr> {
    let fleet = router.fleet();
    if fleet.reads_store() {
        return None;
    }
    let own = ObjectHash::new("relay", fleet.vm().name.as_str().as_bytes());
    let rank = |name: &str| own.rank(name);
    let delegates = fleet.delegates().into_iter().filter(|vm| !failed.contains_key(&vm.peers));
    let best = delegates.min_by(|a, b| rank(a.name.as_str()).total_cmp(&rank(b.name.as_str())));
    best.map(|vm| vm.peers)
}

/// Accepts a reply only if it covers every kind of the query.
fn check_reply(
    answer: Result<Result<UpdateReply, PeerError>, Elapsed>,
    query: &UpdateQuery,
) -> Result<UpdateReply, String> {
    let reply = answer.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
    if reply.len() < query.revisions.len() {
        return Err("the delegate's data of some kinds is out of date".to_owned());
    }
    Ok(reply)
}
