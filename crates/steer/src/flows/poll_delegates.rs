//! Polls the delegates of this VM's region for changes in the store.

use crate::{ObjectCache, ObjectHash, PeerError, Router, UpdatePeers, UpdateQuery, UpdateReply};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, error::Elapsed, sleep, timeout};

/// Maximum time that a delegate delays a reply while there are no changes.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Additional time for the reply to arrive: a few round trips inside a region.
const REPLY_GRACE: Duration = Duration::from_millis(300);
/// Pause while there is no delegate to poll.
const IDLE_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a delegate that failed is not polled again.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// Polls delegates for the life of the process, except while this VM reads the store itself.
pub async fn poll_delegates(
    router: Arc<Router>,
    cache: Arc<ObjectCache>,
    peers: Arc<dyn UpdatePeers>,
) {
    let mut failed: BTreeMap<SocketAddr, Instant> = BTreeMap::new();
    loop {
        failed.retain(|_, at| at.elapsed() < FAILURE_PAUSE);
        let revisions = cache.revisions();
        let delegate = choose_delegate(&router, &failed).filter(|_| !revisions.is_empty());
        let Some(delegate) = delegate else {
            sleep(IDLE_PAUSE).await;
            continue;
        };
        let query = UpdateQuery { revisions, wait: POLL_WAIT };
        let answer = timeout(POLL_WAIT + REPLY_GRACE, peers.poll_updates(delegate, &query)).await;
        match check_reply(answer, &query) {
            Ok(reply) => cache.apply_reply(&query, reply),
            Err(reason) => {
                router.ports().meter.count("relay.failed", 1);
                info!(router.log(), "relay: no news from a delegate"; "peer" => %delegate,
                    "reason" => reason);
                failed.insert(delegate, Instant::now());
            }
        }
    }
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
