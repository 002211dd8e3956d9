//! Polls the VMs above this one in the relay tree for changes in the store.

use crate::{
    KindUpdate, ObjectBatch, ObjectCache, ObjectTransfers, PageQuery, PeerError, RawObject, Router,
    UpdatePeers, UpdateQuery, UpdateReply,
};
use displaydoc::Display;
use slog::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, error::Elapsed, timeout},
};

/// Additional time for the reply to arrive: a few round trips inside a region.
const REPLY_GRACE: Duration = Duration::from_millis(300);
/// Timeout for a part of a large object, and for a page of a list. At this pace an object of the
/// store's maximum size takes longer than a change may, but the transfer goes on.
const PART_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause while there is no VM to poll.
const IDLE_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a VM that failed is not polled again while others can be polled.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);
/// The same for a VM whose objects are out of date, as it looks for newer ones too, and for any VM
/// while this one lacks the first objects of a kind, as the others may just be starting too.
const STALE_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a reply is awaited while this VM lacks the first objects of a kind.
const START_WAIT: Duration = Duration::from_millis(300);

/// Polls for the life of the process, except while this VM reads the store itself. A reply without
/// changes is awaited for `wait`.
///
/// Large objects follow in parts, with a poll before each part, so that a slow transfer delays no
/// other news.
pub async fn poll_upstreams(
    router: Arc<Router>,
    cache: Arc<ObjectCache>,
    peers: Arc<dyn UpdatePeers>,
    wait: Duration,
) {
    let mut pauses: BTreeMap<SocketAddr, Pause> = BTreeMap::new();
    let mut silent: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut transfers = ObjectTransfers::default();
    let mut role = None;
    loop {
        pauses.retain(|_, pause| Instant::now() < pause.until);
        let is_starting = !cache.is_complete();
        let wait = match () {
            () if !transfers.is_empty() => Duration::ZERO,
            // What this VM knows of the others changes often, and with it the VM to poll.
            () if is_starting => START_WAIT.min(wait),
            () => wait,
        };
        let query = cache.query(wait);
        let mut changes = router.fleet().tree_changes();
        let tree = router.fleet().tree();
        if role != Some(tree.role()) {
            role = Some(tree.role());
            info!(router.log(), "relay: position changed"; "role" => ?tree.role(),
                "upstreams" => ?tree.upstreams());
        }
        let upstream = choose_upstream(tree.upstreams(), &pauses);
        let Some(upstream) = upstream.filter(|_| !query.revisions.is_empty()) else {
            // The channel can't be closed, as the router holds the sender.
            let _ = timeout(IDLE_PAUSE, changes.changed()).await;
            continue;
        };
        let poll = Poll { cache: &cache, peers: &*peers, router: &router, upstream };
        let result = tokio::select! {
            biased;
            result = poll.run(query, &mut transfers) => result,
            () = wait_replaced(&router, upstream, changes) => continue,
        };
        let Err(error) = result else {
            if silent.remove(&upstream) {
                info!(router.log(), "relay: news again"; "peer" => %upstream);
            }
            continue;
        };
        router.ports().meter.count("relay.failed", 1);
        if silent.insert(upstream) {
            info!(router.log(), "relay: no news from a VM"; "peer" => %upstream,
                "reason" => %error);
        }
        let is_stale = is_starting || matches!(error, PollError::Stale);
        let pause = if is_stale { STALE_PAUSE } else { FAILURE_PAUSE };
        let now = Instant::now();
        pauses.insert(upstream, Pause { last: now + STALE_PAUSE, until: now + pause });
    }
}

/// When a VM that failed may be polled again.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// If the other VMs have failed too.
    last: Instant,
    /// If another VM can be polled.
    until: Instant,
}

/// Returns the first VM that isn't paused, or else the one whose pause ends first.
fn choose_upstream(
    upstreams: &[SocketAddr],
    pauses: &BTreeMap<SocketAddr, Pause>,
) -> Option<SocketAddr> {
    let now = Instant::now();
    let first = upstreams.iter().find(|upstream| !pauses.contains_key(upstream));
    let paused = upstreams.iter().filter_map(|upstream| Some((pauses.get(upstream)?, upstream)));
    let last = paused.filter(|(pause, _)| pause.last <= now).min_by_key(|(pause, _)| pause.until);
    first.or(last.map(|(_, upstream)| upstream)).copied()
}

/// Waits until the tree no longer has a VM above this one.
async fn wait_replaced(router: &Router, upstream: SocketAddr, mut changes: watch::Receiver<()>) {
    while router.fleet().tree().upstreams().contains(&upstream) {
        // The channel can't be closed, as the router holds the sender.
        let _ = changes.changed().await;
    }
}

/// Why a poll brought no news.
#[derive(Debug, Display)]
enum PollError {
    /// {0}
    Failed(String),
    /// its data of some kinds is out of date
    Stale,
}

impl From<String> for PollError {
    fn from(reason: String) -> Self {
        Self::Failed(reason)
    }
}

/// One poll of a VM, with the transfers that it leads to.
struct Poll<'a> {
    cache: &'a ObjectCache,
    peers: &'a dyn UpdatePeers,
    router: &'a Router,
    upstream: SocketAddr,
}

impl Poll<'_> {
    async fn run(
        &self,
        query: UpdateQuery,
        transfers: &mut ObjectTransfers,
    ) -> Result<(), PollError> {
        let answer = self.peers.poll_updates(self.upstream, &query);
        let reply = read_reply(timeout(query.wait + REPLY_GRACE, answer).await)?;
        // Kinds that this VM has no objects of yet may be new to the other VM too.
        let known = query.revisions.iter().filter(|(_, revision)| **revision > 0);
        let is_current =
            !reply.is_empty() && known.into_iter().all(|(kind, _)| reply.contains_key(kind));
        let complete = self.receive_pages(transfers.accept(&query, reply)).await?;
        self.cache.apply_reply(&query, complete);
        self.receive_part(transfers).await?;
        if is_current { Ok(()) } else { Err(PollError::Stale) }
    }

    /// Receives the further pages of long lists.
    async fn receive_pages(&self, mut reply: UpdateReply) -> Result<UpdateReply, String> {
        for (kind, update) in &mut reply {
            let started = Instant::now();
            self.receive_pages_of(kind, update).await?;
            update.age += started.elapsed();
        }
        Ok(reply)
    }

    async fn receive_pages_of(
        &self,
        kind: &Arc<str>,
        update: &mut KindUpdate,
    ) -> Result<(), String> {
        let mut size = update.batch.size();
        while let Some(after) = update.more_after.take() {
            let query = PageQuery { after, kind: Arc::clone(kind) };
            let page = timeout(PART_TIMEOUT, self.peers.fetch_page(self.upstream, &query)).await;
            let page = page.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
            let goes_on = page.more_after.as_ref().is_none_or(|next| *next > query.after);
            if !goes_on {
                return Err("a page does not follow the one before".to_owned());
            }
            self.router.ports().meter.count("relay.pages", 1);
            size += page.objects.iter().map(RawObject::size).sum::<usize>();
            if size > ObjectBatch::MAX_BYTES {
                return Err("the pages don't end".to_owned());
            }
            update.batch.objects.extend(page.objects);
            update.more_after = page.more_after;
        }
        Ok(())
    }

    /// Receives the next part of a large object, if one is pending.
    async fn receive_part(&self, transfers: &mut ObjectTransfers) -> Result<(), String> {
        let Some(query) = transfers.next_part() else { return Ok(()) };
        let at =
            || format!("byte {} of {} of {}", query.offset, query.object.size, query.object.name);
        let part = self.peers.fetch_part(self.upstream, &query);
        let part = match timeout(PART_TIMEOUT, part).await {
            Ok(Ok(part)) => part,
            Ok(Err(error)) => {
                if matches!(error, PeerError::Refused(_)) {
                    transfers.discard(&query.kind);
                }
                return Err(format!("{error}, at {}", at()));
            }
            Err(elapsed) => return Err(format!("{elapsed}, at {}", at())),
        };
        let completed = transfers.add_part(&query, &part);
        let completed = completed.map_err(|e| format!("{e}, at {}", at()))?;
        self.cache.record_part(&query.kind);
        self.router.ports().meter.count("relay.parts", 1);
        let Some(transfer) = completed else { return Ok(()) };
        info!(self.router.log(), "relay: large objects received"; "peer" => %self.upstream,
            "kind" => &*transfer.kind, "bytes" => transfer.bytes,
            "revision" => transfer.update.batch.revision,
            "after_ms" => u64::try_from(transfer.time.as_millis()).unwrap_or(u64::MAX));
        self.cache.apply_reply(&transfer.query, [(transfer.kind, transfer.update)].into());
        Ok(())
    }
}

fn read_reply(
    answer: Result<Result<UpdateReply, PeerError>, Elapsed>,
) -> Result<UpdateReply, String> {
    answer.map_err(|e| e.to_string())?.map_err(|e| e.to_string())
}
