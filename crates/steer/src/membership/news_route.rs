//! Which peers membership updates are forwarded to.

use super::EntryVm;

/// Returns whether an update about the VM `of`, received from `source`, is forwarded to `to`.
///
/// Updates travel from a zone to its region, from the region to the other regions, and from
/// there to the zones and their VMs, but never back. Otherwise two VMs could keep each other
/// convinced that a third is alive.
pub(super) fn may_forward(own: &EntryVm, of: &EntryVm, source: &EntryVm, to: &EntryVm) -> bool {
    if to.zone == own.zone {
        return of.zone != own.zone && source.zone != own.zone;
    }
    let own_zone = of.zone == own.zone && source.name == of.name;
    if to.region == own.region {
        return own_zone || (of.region != own.region && source.region != own.region);
    }
    let neighbour = of.region == own.region && of.zone != own.zone && source.zone == of.zone;
    own_zone || neighbour
}
