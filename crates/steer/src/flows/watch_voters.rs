//! Keeps the list of the region's voters up to date.

use super::{Backoff, renew_shares::coordinator};
use crate::{EntryNode, VmState};
use slog::warn;
use std::time::Duration;
use tokio::time::sleep;

/// Period at which the platform's list of VMs is read.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Reads the platform's list of VMs until the first read succeeds, then periodically while this VM
/// is or would become the coordinator of its region's shares. Idle while there are no shares.
pub async fn watch_voters(node: &EntryNode) {
    let mut backoff = Backoff::new(node.vm().name.as_str());
    while node.state() != VmState::Stopped {
        let voters = node.region_voters();
        let coordinates = coordinator(node, &voters).is_some_and(|name| name == node.vm().name);
        let idle = node.share_keys().is_empty();
        if idle || !(coordinates || voters.is_empty()) {
            sleep(LIST_PERIOD).await;
            continue;
        }
        let pause = match node.ports().platform.vms().await {
            Ok(vms) => {
                node.set_voters(&vms);
                backoff.reset();
                LIST_PERIOD
            }
            Err(error) => {
                warn!(node.log(), "shares: can't read the list of voters"; "reason" => %error);
                backoff.next_pause()
            }
        };
        sleep(pause).await;
    }
}
