//! Runs an entry VM from joining the fleet until it has stopped.

use super::{
    announce_to_peers, poll_targets, renew_shares, renew_slot_leases, share_suspects,
    watch_settings, watch_vms, watch_voters,
};
use crate::{DrainSettings, Draining, EntryNode, Joining, Serving, Stopped, Vm};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::Receiver,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Maximum time to wait for contact with a first peer before this VM serves.
const JOIN_GRACE: Duration = Duration::from_millis(500);
/// Period at which the peers' settings versions are checked.
const JOIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time limits for stopping an entry VM.
///
/// ```
/// use std::time::Duration;
/// use steer::StopLimits;
/// let limits = StopLimits::default().limit(Duration::from_secs(60));
/// assert_eq!(limits.limit.as_secs(), 60);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StopLimits {
    /// Maximum time for requests in progress; those that remain after it are aborted.
    pub limit: Duration,
    /// Minimum time to keep serving, for callers that still cache an earlier look-up.
    pub linger: Duration,
}

impl StopLimits {
    /// Sets the maximum time for requests in progress.
    ///
    /// ```
    /// use std::time::Duration;
    /// let limits = steer::StopLimits::default().limit(Duration::from_secs(5));
    /// assert_eq!(limits.limit, Duration::from_secs(5));
    /// ```
    pub fn limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the minimum time to keep serving.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert!(steer::StopLimits::default().linger(Duration::ZERO).linger.is_zero());
    /// ```
    pub fn linger(mut self, linger: Duration) -> Self {
        self.linger = linger;
        self
    }
}

impl Default for StopLimits {
    fn default() -> Self {
        Self { limit: Duration::from_secs(3600), linger: EntryNode::LOOKUP_MAX_AGE }
    }
}

/// Period at which the drains in the settings are evaluated. Maintenance windows open and close at
/// a set time, without a change of the settings.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Runs an entry VM: it joins and serves until the first message on `stop`, then drains until the
/// last answer is complete. A second message, or the time limit in `limits`, aborts the remaining
/// requests.
///
/// While the settings drain the VM, it owns no pools and stays ready to serve again.
pub async fn run_entry(
    node: Arc<EntryNode>,
    vm: Vm<Joining>,
    mut stop: Receiver<()>,
    limits: StopLimits,
) -> Vm<Stopped> {
    let mut tasks = JoinSet::new();
    let watcher = Arc::clone(&node);
    tasks.spawn(async move { watch_settings(&watcher).await });
    let watcher = Arc::clone(&node);
    tasks.spawn(async move { watch_vms(&watcher).await });
    let renewer = Arc::clone(&node);
    tasks.spawn(async move { renew_slot_leases(&renewer).await });
    let renewer = Arc::clone(&node);
    tasks.spawn(async move { renew_shares(&renewer).await });
    let watcher = Arc::clone(&node);
    tasks.spawn(async move { watch_voters(&watcher).await });
    let sharer = Arc::clone(&node);
    tasks.spawn(async move { share_suspects(&sharer).await });
    let poller = Arc::clone(&node);
    tasks.spawn(async move { poll_targets(&poller).await });

    tokio::select! {
        () = wait_for_settings(&node) => {}
        Some(()) = stop.recv() => {
            info!(node.log(), "vm: stopped before it began to serve"; "name" => %node.vm().name);
            return vm.serve().drain().stop();
        }
    }
    let vm = vm.serve();
    info!(node.log(), "vm: serving"; "name" => %node.vm().name);
    let vm = serve_until_stopped(&node, vm, &mut stop).await;
    finish_and_stop(&node, vm, &mut stop, limits).await
}

/// Drains a serving VM and stops it: peers are notified at once, queued requests move to the pools'
/// new owners, and running requests finish. A message on `stop`, or the time limit in `limits`, aborts
/// the rest.
pub async fn drain_and_stop(
    node: &Arc<EntryNode>,
    vm: Vm<Serving>,
    stop: &mut Receiver<()>,
    limits: StopLimits,
) -> Vm<Stopped> {
    let vm = vm.drain();
    announce_to_peers(node).await;
    finish_and_stop(node, vm, stop, limits).await
}

async fn finish_and_stop(
    node: &Arc<EntryNode>,
    vm: Vm<Draining>,
    stop: &mut Receiver<()>,
    limits: StopLimits,
) -> Vm<Stopped> {
    wait_for_requests(node, stop, limits).await;
    let vm = vm.stop();
    info!(node.log(), "vm: stopped"; "name" => %node.vm().name);
    vm
}

/// Serves until a message on `stop`, with a pause whenever the settings drain this VM.
async fn serve_until_stopped(
    node: &Arc<EntryNode>,
    mut vm: Vm<Serving>,
    stop: &mut Receiver<()>,
) -> Vm<Draining> {
    loop {
        tokio::select! {
            () = wait_for_drain(node, true) => {}
            Some(()) = stop.recv() => {
                let vm = vm.drain();
                announce_to_peers(node).await;
                return vm;
            }
        }
        let paused = vm.pause();
        announce_to_peers(node).await;
        info!(node.log(), "vm: drained by the settings"; "requests" => node.work().len());
        tokio::select! {
            () = wait_for_drain(node, false) => {}
            Some(()) = stop.recv() => return paused.drain(),
        }
        vm = paused.serve();
        announce_to_peers(node).await;
        info!(node.log(), "vm: serving again");
    }
}

/// Waits until the settings drain this VM, or, if `wanted` is false, until they no longer do.
async fn wait_for_drain(node: &EntryNode, wanted: bool) {
    let mut snapshot = node.watch_snapshot();
    while is_drained(node) != wanted {
        let changed = timeout(DRAIN_POLL_PERIOD, snapshot.changed()).await;
        debug_assert!(!matches!(changed, Ok(Err(_))), "the node keeps the sender");
    }
}

fn is_drained(node: &EntryNode) -> bool {
    let (now, own) = (node.ports().clock.now(), &node.vm().name);
    node.snapshot().drains(now).any(|d| matches!(d, DrainSettings::EntryVm(name) if name == own))
}

/// Waits for the last response, a second message on `stop`, or the limit, whichever comes first.
async fn wait_for_requests(node: &EntryNode, stop: &mut Receiver<()>, limits: StopLimits) {
    let start = Instant::now();
    info!(node.log(), "vm: draining"; "requests" => node.work().len());
    let finished = async {
        sleep(limits.linger).await;
        node.work().close();
        node.work().wait().await;
    };
    let reason = tokio::select! {
        () = finished => None,
        Some(()) = stop.recv() => Some("second signal"),
        () = sleep(limits.limit) => Some("limit reached"),
    };
    let meter = &node.ports().meter;
    meter.time("drain", start.elapsed());
    let Some(reason) = reason else { return };
    let aborted = node.in_flight().counts();
    meter.count("drain.cut", aborted.values().sum::<usize>() as u64);
    for (class, requests) in &aborted {
        warn!(node.log(), "vm: requests cut by the stop";
            "class" => %class, "requests" => requests, "reason" => reason);
    }
}

/// Waits until the fleet's settings are in force and no peer is known to have newer ones. If no
/// peer is known yet, waits for one for at most `JOIN_GRACE`.
async fn wait_for_settings(node: &EntryNode) {
    let mut snapshot = node.watch_snapshot();
    let found = snapshot.wait_for(|s| s.fleet().is_some()).await.is_ok();
    debug_assert!(found, "the node keeps the sender");
    let grace = Instant::now() + JOIN_GRACE;
    let is_waiting = || node.peers().is_empty() && Instant::now() < grace;
    while is_waiting() || !node.has_current_settings() {
        sleep(JOIN_POLL_PERIOD).await;
    }
}
