//! Bound on the requests that a cold target gets in a second.

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
/// let (mut window, now) = (steer::StartWindow::default(), Instant::now());
/// assert!(window.has_room(now, 1));
/// window.note(now);
/// assert!(!window.has_room(now, 1));
/// assert!(window.has_room(now + steer::StartWindow::SPAN, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StartWindow {
    sent: VecDeque<Instant>,
}

impl StartWindow {
    /// Most sends that are remembered.
    const MOST: usize = 64;
    /// Length of the window: the second of the bound, and the spread of delays on the way.
    pub const SPAN: Duration = Duration::from_millis(1_150);

    /// Whether fewer than `most` requests were sent within the window.
    pub fn has_room(&self, now: Instant, most: u32) -> bool {
        let recent = self.sent.iter().rev().take_while(|at| now.duration_since(**at) < Self::SPAN);
        recent.count() < most as usize
    }

    /// Notes a request that is sent.
    pub fn note(&mut self, now: Instant) {
        if self.sent.len() == Self::MOST {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// Requests within a window that one VM may send to a cold target, of `burst` that all may send.
///
/// Each VM has the same part, and none before the fleet is known. Where there are more VMs than requests, those that rank best for the
/// target have one each.
pub(super) fn start_share(
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
