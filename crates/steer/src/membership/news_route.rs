//! Along which way news of a VM passes through the fleet.

use super::EntryVm;

/// Tells whether news of a VM, which came from a teller, is passed on to a peer.
///
/// News goes up from a zone to its region and from a region to the others, and then down to
/// the zones and their VMs, never back: so no two VMs keep a third alive by each other's word.
pub(super) fn may_pass(own: &EntryVm, of: &EntryVm, teller: &EntryVm, to: &EntryVm) -> bool {
    if to.zone == own.zone {
        return of.zone != own.zone && teller.zone != own.zone;
    }
    let own_zone = of.zone == own.zone && teller.name == of.name;
    if to.region == own.region {
        return own_zone || (of.region != own.region && teller.region != own.region);
    }
    let near = of.region == own.region && of.zone != own.zone && teller.zone == of.zone;
    own_zone || near
}
