//! Keeps the roster of the region's voters up to date.

use super::{Backoff, renew_shares::coordinator};
use crate::{EntryNode, VmState};
use slog::warn;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two looks at the platform's list.
const PERIOD: Duration = Duration::from_secs(2);

/// Reads the platform's list until the first one came, and then again and again while this VM
/// coordinates its region's shares or is about to.
pub async fn watch_roster(node: &EntryNode) {
    let mut backoff = Backoff::new(node.vm().name.as_str());
    while node.state() != VmState::Stopped {
        let roster = node.region_roster();
        let leads = coordinator(node, &roster).is_some_and(|name| name == node.vm().name);
        let idle = node.share_keys().is_empty();
        if idle || !(leads || roster.is_empty()) {
            sleep(PERIOD).await;
            continue;
        }
        let pause = match node.ports().platform.vms().await {
            Ok(vms) => {
                node.set_roster(&vms);
                backoff.reset();
                PERIOD
            }
            Err(error) => {
                warn!(node.log(), "shares: no list of voters"; "reason" => %error);
                backoff.fail()
            }
        };
        sleep(pause).await;
    }
}
