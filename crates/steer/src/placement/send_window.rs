//! Rate limit for requests to a cold target.

use super::ObjectHash;
use crate::{TargetName, VmName};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Counts the requests sent to a target within a sliding window.
///
/// ```
/// use tokio::time::Instant;
/// let (mut window, now) = (steer::SendWindow::default(), Instant::now());
/// assert!(window.has_room(now, 1));
/// window.record(now);
/// assert!(!window.has_room(now, 1));
/// assert!(window.has_room(now + steer::SendWindow::SPAN, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    sent: VecDeque<Instant>,
}

impl SendWindow {
    /// Maximum number of send times kept.
    const MAX_REQUESTS: usize = 64;
    /// Length of the window: the one second of the limit, plus an allowance for network jitter.
    pub const SPAN: Duration = Duration::from_millis(1_150);

    /// Returns whether fewer than `limit` requests were sent within the window.
    pub fn has_room(&self, now: Instant, limit: u32) -> bool {
        let recent = self.sent.iter().rev().take_while(|at| now.duration_since(**at) < Self::SPAN);
        recent.count() < limit as usize
    }

    /// Records a request sent at `now`.
    pub fn record(&mut self, now: Instant) {
        if self.sent.len() == Self::MAX_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// Returns how many of the `burst` requests per window that the fleet may send to a cold target
/// this VM may send.
///
/// All VMs get equal shares; the share is zero until the fleet is known. If there are more VMs
/// than requests, the VMs that rank best for the target get one request each.
pub(super) fn send_quota(
    burst: u32,
    name: &VmName,
    vms: &BTreeSet<VmName>,
    target: &TargetName,
) -> u32 {
    if vms.is_empty() {
        return 0;
    }
    let count = u32::try_from(vms.len()).unwrap_or(u32::MAX);
    if burst >= count {
        return burst / count;
    }
    let target = ObjectHash::new("start", target.as_str().as_bytes());
    let own = target.rank(name.as_str());
    let better = vms.iter().filter(|vm| target.rank(vm.as_str()) < own).count();
    u32::from(better < burst as usize)
}
