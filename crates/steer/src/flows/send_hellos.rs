//! Exchanges hellos with the other entry VMs, one task for each.

use crate::{FleetView, HelloPeers, PeerError, Router, VmHello, VmState};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Time between two hellos to a peer in another region; these also report a region's live VMs.
const REMOTE_HELLO_PERIOD: Duration = Duration::from_millis(2_100);
/// Timeout of a hello: covers a round trip between regions and a pause of the peer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a delegate collects news before it tells them, and time between two hellos because
/// of refused requests.
const NEWS_DELAY: Duration = Duration::from_millis(100);

/// Sends hellos to all known VMs for the life of the process, and at once when this VM's state
/// changes, such as when it leaves or loses the store, or a request begins to be refused.
pub async fn send_hellos(
    router: Arc<Router>,
    peers: Arc<dyn HelloPeers>,
    state: watch::Receiver<VmState>,
) {
    let mut tasks: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let wanted = router.fleet().hello_peers();
        tasks.retain(|peer, task| {
            let wanted = wanted.contains(peer);
            if !wanted {
                task.abort();
            }
            wanted
        });
        for peer in wanted {
            tasks.entry(peer).or_insert_with(|| {
                let (router, peers) = (Arc::clone(&router), Arc::clone(&peers));
                tokio::spawn(send_hellos_to(router, peers, peer, state.clone()))
            });
        }
        if router.fleet().is_registry_read() {
            router.target_table().set_vms(router.fleet().known());
        }
        sleep(FleetView::HELLO_PERIOD).await;
    }
}

/// Sends hellos to one VM until the task is aborted.
async fn send_hellos_to(
    router: Arc<Router>,
    peers: Arc<dyn HelloPeers>,
    peer: SocketAddr,
    mut state: watch::Receiver<VmState>,
) {
    let mut replying = false;
    let mut news = router.fleet().news();
    let mut store_lost = router.fleet().store_lost();
    let mut refusals = router.quarantine().refusals();
    // When the last refusal was told.
    let mut told_at = Instant::now();
    let mut is_regular = false;
    loop {
        if !is_regular || !router.fleet().may_skip_hello(peer) {
            let hello = router.hello_at(peer);
            let reply = timeout(REPLY_TIMEOUT, peers.send_hello(peer, &hello)).await;
            let replied = record_reply(&router, peer, reply.ok());
            if replied != replying {
                replying = replied;
                let text = if replying { "fleet: VM answers" } else { "fleet: VM lost" };
                info!(router.log(), "{text}"; "peer" => %peer);
            }
        }
        let remote = router.fleet().is_remote(peer);
        is_regular = true;
        tokio::select! {
            biased;
            () = sleep(if remote { REMOTE_HELLO_PERIOD } else { FleetView::HELLO_PERIOD }) => {}
            Ok(()) = state.changed() => is_regular = false,
            Ok(()) = store_lost.changed() => is_regular = false,
            Ok(()) = refusals.changed() => {
                sleep_until(told_at + NEWS_DELAY).await;
                refusals.mark_unchanged();
                told_at = Instant::now();
                is_regular = false;
            }
            Ok(()) = news.changed(), if !remote && router.fleet().is_zone_delegate() => {
                sleep(NEWS_DELAY).await;
                news.mark_unchanged();
            }
        }
    }
}

/// Records a reply, and returns whether there was one.
fn record_reply(
    router: &Router,
    peer: SocketAddr,
    reply: Option<Result<VmHello, PeerError>>,
) -> bool {
    match reply {
        Some(Ok(hello)) => {
            router.record_hello(hello);
            true
        }
        // A single timeout changes nothing: the VM counts as lost after a longer silence.
        Some(Err(PeerError::NoReply)) | None => {
            router.fleet().record_no_reply(peer);
            false
        }
        Some(Err(_)) => {
            router.fleet().record_refused(peer);
            false
        }
    }
}
