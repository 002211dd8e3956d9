//! The life of the look at the platform's list of VMs.

use super::talk_to_peer;
use crate::{EntryNode, PlatformVm, TargetName, VmKindTag};
use slog::warn;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinHandle,
    time::{MissedTickBehavior, interval},
};

/// Time between two looks at the list.
const PERIOD: Duration = Duration::from_secs(1);

/// Reads the list again and again: starts a talk with each entry VM on it, and takes leaving
/// targets out of service.
pub async fn watch_vms(node: &Arc<EntryNode>) {
    let mut talks: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match node.ports().platform.vms().await {
            Ok(vms) => {
                node.set_leaving(leaving_targets(&vms));
                node.set_roster(&vms);
                start_talks(node, &vms, &mut talks);
            }
            Err(error) => {
                warn!(node.log(), "membership: no list of VMs"; "reason" => %error);
            }
        }
    }
}

fn leaving_targets(vms: &[PlatformVm]) -> std::collections::BTreeSet<TargetName> {
    vms.iter()
        .filter(|vm| vm.kind == VmKindTag::Target && vm.leaving)
        .map(|vm| TargetName::from(&*vm.name))
        .collect()
}

fn start_talks(
    node: &Arc<EntryNode>,
    vms: &[PlatformVm],
    talks: &mut BTreeMap<SocketAddr, JoinHandle<()>>,
) {
    talks.retain(|_, talk| !talk.is_finished());
    let own = node.vm().addresses.peers;
    for vm in vms.iter().filter(|vm| vm.kind == VmKindTag::Entry && vm.address != own) {
        talks.entry(vm.address).or_insert_with(|| {
            let (node, address) = (Arc::clone(node), vm.address);
            tokio::spawn(async move { talk_to_peer(&node, address).await })
        });
    }
}
