//! How much there is to divide.

use crate::{LinkSettings, ShareKey, ShiftSettings, Snapshot};

/// The whole of an allowance: a part that each entry VM has without asking, and the rest, which
/// the coordinator lends.
///
/// ```
/// use steer::ShareTotal;
/// let total = ShareTotal::of_link(1_000_000, 4);
/// assert_eq!(total.floor * 4 + total.lent, 900_000);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareTotal {
    /// What each entry VM of the region may always use.
    pub floor: u64,
    /// What is lent.
    pub lent: u64,
}

impl ShareTotal {
    /// Part of a link's cap, in hundredths, that bodies may fill; the rest is for control
    /// traffic and for the heads and frames around the bodies.
    const BODY_PERCENT: u64 = 90;
    /// Part of that, in hundredths, that is divided evenly without leases, so that a VM that
    /// is cut off from its region's majority still reaches other regions.
    const FLOOR_PERCENT: u64 = 25;

    /// Divides a link's cap among so many entry VMs.
    pub fn of_link(cap: u64, vms: u64) -> Self {
        let whole = cap * Self::BODY_PERCENT / 100;
        let floor = whole * Self::FLOOR_PERCENT / 100 / vms.max(1);
        Self { floor, lent: whole - floor * vms.max(1) }
    }

    /// Part of a shift's cap, in hundredths, that is used. The rest keeps the cap at the far end
    /// too, where requests arrive closer together than they left.
    const SHIFT_PERCENT: u64 = 95;

    /// A shift's cap is lent: a VM without a lease moves nothing.
    ///
    /// ```
    /// assert_eq!(steer::ShareTotal::of_shift(40), steer::ShareTotal { floor: 0, lent: 38 });
    /// assert_eq!(steer::ShareTotal::of_shift(1).lent, 1);
    /// ```
    pub fn of_shift(cap: u64) -> Self {
        Self { floor: 0, lent: (cap * Self::SHIFT_PERCENT).div_ceil(100) }
    }

    /// Reads the whole of an allowance from settings; nothing where they don't name it.
    pub fn read(snapshot: &Snapshot, key: &ShareKey, vms: u64) -> Self {
        match key {
            ShareKey::Link { from, to } => {
                let links = snapshot.fleet().map(|f| f.links.as_slice()).unwrap_or_default();
                let cap = links.iter().find(|l| l.joins(from, to)).map(LinkSettings::cap_bytes);
                cap.map(|cap| Self::of_link(cap, vms)).unwrap_or_default()
            }
            ShareKey::Shift { from, service, to } => {
                let same =
                    |s: &&ShiftSettings| s.from == *from && s.service == *service && s.to == *to;
                // Two shifts of the same service on the same way are held under the lower cap.
                let cap = snapshot.shifts().iter().filter(same).map(|s| s.cap).min();
                cap.map(|cap| Self::of_shift(u64::from(cap))).unwrap_or_default()
            }
        }
    }
}
