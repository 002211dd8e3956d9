//! Greets the other entry VMs, one task each.

use crate::{Greeter, PeerError, Router, VmHello, VmState};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Time between two greetings of a peer.
const PERIOD: Duration = Duration::from_millis(700);
/// Time between two greetings of a peer in another region; they also tell who lives there.
const REMOTE_PERIOD: Duration = Duration::from_millis(2_100);
/// Longest wait for a reply: a round trip between regions, and a pause of the peer.
const REPLY_WAIT: Duration = Duration::from_millis(800);

/// Greets all known VMs for as long as the process lives, and at once when this VM leaves.
pub async fn greet_fleet(
    router: Arc<Router>,
    greeter: Arc<dyn Greeter>,
    state: watch::Receiver<VmState>,
) {
    let mut tasks: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let wanted = router.fleet().to_greet();
        tasks.retain(|peer, task| {
            let wanted = wanted.contains(peer);
            if !wanted {
                task.abort();
            }
            wanted
        });
        for peer in wanted {
            tasks.entry(peer).or_insert_with(|| {
                let (router, greeter) = (Arc::clone(&router), Arc::clone(&greeter));
                tokio::spawn(greet_vm(router, greeter, peer, state.clone()))
            });
        }
        if router.fleet().is_listed() {
            router.board().set_vms(router.fleet().known());
        }
        sleep(PERIOD).await;
    }
}

/// Greets one VM again and again.
async fn greet_vm(
    router: Arc<Router>,
    greeter: Arc<dyn Greeter>,
    peer: SocketAddr,
    mut state: watch::Receiver<VmState>,
) {
    let mut heard = false;
    loop {
        let hello = router.fleet().hello_at(peer);
        let reply = timeout(REPLY_WAIT, greeter.greet(peer, &hello)).await;
        let answers = note_reply(&router, peer, reply.ok());
        if answers != heard {
            heard = answers;
            let text = if heard { "fleet: VM answers" } else { "fleet: VM lost" };
            info!(router.log(), "{text}"; "peer" => %peer);
        }
        let remote = router.fleet().is_remote(peer);
        tokio::select! {
            () = sleep(if remote { REMOTE_PERIOD } else { PERIOD }) => {}
            Ok(()) = state.changed() => {}
        }
    }
}

/// Takes a reply, and tells whether there was one.
fn note_reply(
    router: &Router,
    peer: SocketAddr,
    reply: Option<Result<VmHello, PeerError>>,
) -> bool {
    match reply {
        Some(Ok(hello)) => {
            router.fleet().note_hello(hello);
            true
        }
        Some(Err(_)) => {
            router.fleet().note_refused(peer);
            false
        }
        // No reply in time: the VM counts as lost only after a longer silence.
        None => false,
    }
}
