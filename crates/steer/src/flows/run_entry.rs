//! The life of an entry VM.

use super::{
    poll_targets, renew_room, renew_shares, tell_all, watch_roster, watch_settings, watch_vms,
};
use crate::{EntryNode, Joining, Stopped, Vm};
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time that peers get to be met before this VM serves.
const JOIN_GRACE: Duration = Duration::from_millis(500);
/// Time between two looks at what peers have.
const JOIN_STEP: Duration = Duration::from_millis(20);

/// Runs an entry VM until `stop` ends: joins, serves, then drains until the last answer.
pub async fn run_entry(
    node: Arc<EntryNode>,
    vm: Vm<Joining>,
    stop: impl Future<Output = ()>,
) -> Vm<Stopped> {
    let mut tasks = JoinSet::new();
    let watcher = Arc::clone(&node);
    tasks.spawn(async move { watch_settings(&watcher).await });
    let watcher = Arc::clone(&node);
    tasks.spawn(async move { watch_vms(&watcher).await });
    let renewer = Arc::clone(&node);
    tasks.spawn(async move { renew_room(&renewer).await });
    let renewer = Arc::clone(&node);
    tasks.spawn(async move { renew_shares(&renewer).await });
    let watcher = Arc::clone(&node);
    tasks.spawn(async move { watch_roster(&watcher).await });
    let poller = Arc::clone(&node);
    tasks.spawn(async move { poll_targets(&poller).await });

    wait_for_settings(&node).await;
    let vm = vm.serve();
    info!(node.log(), "vm: serving"; "name" => %node.vm().name);

    stop.await;
    let vm = vm.drain();
    info!(node.log(), "vm: draining"; "requests" => node.work().len());
    tell_all(&node).await;
    node.work().close();
    node.work().wait().await;
    let vm = vm.stop();
    info!(node.log(), "vm: stopped"; "name" => %node.vm().name);
    vm
}

/// Waits until the fleet's settings are in force, and no peer is known to have newer ones. Where
/// peers are named but none was met yet, they get a little time.
async fn wait_for_settings(node: &EntryNode) {
    let mut snapshot = node.watch_snapshot();
    let found = snapshot.wait_for(|s| s.fleet().is_some()).await.is_ok();
    debug_assert!(found, "the node keeps the sender");
    let grace = Instant::now() + JOIN_GRACE;
    let is_waiting = || node.peers().is_empty() && Instant::now() < grace;
    while is_waiting() || !node.has_current_settings() {
        sleep(JOIN_STEP).await;
    }
}
