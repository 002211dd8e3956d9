//! The total of a shared rate limit.

use crate::{LinkSettings, ShareKey, ShiftSettings, Snapshot};

/// The total of a shared rate limit: a fixed quota for each entry VM, and the rest, which the
/// coordinator leases out.
///
/// ```
/// use steer::ShareTotal;
/// let total = ShareTotal::of_link(1_000_000, 4);
/// assert_eq!(total.quota * 4 + total.leasable, 900_000);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareTotal {
    /// Quota that each entry VM of the region may use without a lease.
    pub quota: u64,
    /// Amount that is leased out.
    pub leasable: u64,
}

impl ShareTotal {
    /// Percentage of a link's cap available to bodies; the rest is for control traffic, message
    /// heads and frame headers.
    const BODY_PERCENT: u64 = 90;
    /// Percentage of the body bandwidth that is split evenly without leases, so that a VM
    /// partitioned from its region's majority can still reach other regions.
    const QUOTA_PERCENT: u64 = 25;

    /// Computes the total of a link's cap, in bytes per second, for a number of entry VMs.
    pub fn of_link(cap: u64, vms: u64) -> Self {
        let usable = cap * Self::BODY_PERCENT / 100;
        let quota = usable * Self::QUOTA_PERCENT / 100 / vms.max(1);
        Self { quota, leasable: usable - quota * vms.max(1) }
    }

    /// Percentage of a shift's cap that is used. The margin keeps the receiving region under the
    /// cap too: requests may arrive there closer together than they were sent.
    const SHIFT_PERCENT: u64 = 95;

    /// Computes the total of a shift's cap, all of it leased: a VM without a lease shifts nothing.
    ///
    /// ```
    /// assert_eq!(steer::ShareTotal::of_shift(40), steer::ShareTotal { quota: 0, leasable: 38 });
    /// assert_eq!(steer::ShareTotal::of_shift(1).leasable, 1);
    /// ```
    pub fn of_shift(cap: u64) -> Self {
        Self { quota: 0, leasable: (cap * Self::SHIFT_PERCENT).div_ceil(100) }
    }

    /// Reads the total from the settings; zero if the link or shift isn't configured.
    pub fn read(snapshot: &Snapshot, key: &ShareKey, vms: u64) -> Self {
        match key {
            ShareKey::Link { from, to } => {
                let links = snapshot.fleet().map(|f| f.links.as_slice()).unwrap_or_default();
                let cap = links.iter().find(|l| l.connects(from, to)).map(LinkSettings::cap_bytes);
                cap.map(|cap| Self::of_link(cap, vms)).unwrap_or_default()
            }
            ShareKey::Shift { from, service, to } => {
                let same =
                    |s: &&ShiftSettings| s.from == *from && s.service == *service && s.to == *to;
                // If two shifts have the same service and regions, the lower cap applies to both.
                let cap = snapshot.shifts().iter().filter(same).map(|s| s.cap).min();
                cap.map(|cap| Self::of_shift(u64::from(cap))).unwrap_or_default()
            }
        }
    }
}
