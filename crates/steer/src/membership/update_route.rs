//! Which peers membership updates are forwarded to.

use super::EntryVm;

/// Returns whether an update about `subject`, received from `source`, is forwarded to `to`.
///
/// Updates are forwarded from a zone to its region, from the region to the other regions, and from
/// there to the zones and their VMs, but never back. Otherwise, two VMs could keep reporting a third
/// one alive to each other after it is gone.
pub(super) fn may_forward(
    own: &EntryVm,
    subject: &EntryVm,
    source: &EntryVm,
    to: &EntryVm,
) -> bool {
    if to.zone == own.zone {
        return subject.zone != own.zone && source.zone != own.zone;
    }
    let is_origin = subject.zone == own.zone && source.name == subject.name;
    if to.region == own.region {
        return is_origin || (subject.region != own.region && source.region != own.region);
    }
    let from_region =
        subject.region == own.region && subject.zone != own.zone && source.zone == subject.zone;
    is_origin || from_region
}
