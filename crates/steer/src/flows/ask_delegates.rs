//! Asks the delegates of this VM's region for news of the store.

use crate::{NewsBoard, NewsPeers, NewsQuery, NewsReply, ObjectHash, PeerError, Router};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, error::Elapsed, sleep, timeout};

/// Longest time that a delegate holds the answer back while there is no news.
const WAIT: Duration = Duration::from_millis(500);
/// Longest time for an answer beyond that: a few round trips inside a region.
const ANSWER_WAIT: Duration = Duration::from_millis(300);
/// Pause where there is no delegate to ask.
const IDLE: Duration = Duration::from_millis(300);
/// Time for which a delegate that failed is not asked again.
const AVOID: Duration = Duration::from_secs(3);

/// Asks for news for as long as the process lives, unless this VM reads the store itself.
pub async fn ask_delegates(router: Arc<Router>, board: Arc<NewsBoard>, peers: Arc<dyn NewsPeers>) {
    let mut failed: BTreeMap<SocketAddr, Instant> = BTreeMap::new();
    loop {
        failed.retain(|_, at| at.elapsed() < AVOID);
        let revisions = board.revisions();
        let delegate = choose_delegate(&router, &failed).filter(|_| !revisions.is_empty());
        let Some(delegate) = delegate else {
            sleep(IDLE).await;
            continue;
        };
        let query = NewsQuery { revisions, wait: WAIT };
        let answer = timeout(WAIT + ANSWER_WAIT, peers.ask_news(delegate, &query)).await;
        match judge(answer, &query) {
            Ok(reply) => board.hear(&query, reply),
            Err(reason) => {
                router.ports().meter.count("relay.failed", 1);
                info!(router.log(), "relay: no news from a delegate"; "peer" => %delegate,
                    "reason" => reason);
                failed.insert(delegate, Instant::now());
            }
        }
    }
}

/// The delegate to ask, so that a region's VMs spread over its delegates; none for a VM that
/// reads the store.
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

/// Takes an answer that covers all that was asked.
fn judge(
    answer: Result<Result<NewsReply, PeerError>, Elapsed>,
    query: &NewsQuery,
) -> Result<NewsReply, String> {
    let reply = answer.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
    if reply.len() < query.revisions.len() {
        return Err("it has not heard of the store lately".to_owned());
    }
    Ok(reply)
}
