//! The life of an entry VM.

use super::{renew_room, renew_shares, watch_settings, watch_vms};
use crate::{EntryNode, Joining, Stopped, Vm};
use slog::info;
use std::sync::Arc;
use tokio::task::JoinSet;

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

    wait_for_settings(&node).await;
    let vm = vm.serve();
    info!(node.log(), "vm: serving"; "name" => %node.vm().name);

    stop.await;
    let vm = vm.drain();
    info!(node.log(), "vm: draining"; "requests" => node.work().len());
    node.work().close();
    node.work().wait().await;
    let vm = vm.stop();
    info!(node.log(), "vm: stopped"; "name" => %node.vm().name);
    vm
}

/// Waits until the fleet's settings are in force.
async fn wait_for_settings(node: &EntryNode) {
    let mut snapshot = node.watch_snapshot();
    let found = snapshot.wait_for(|s| s.fleet().is_some()).await;
    debug_assert!(found.is_ok(), "the node keeps the sender");
}
