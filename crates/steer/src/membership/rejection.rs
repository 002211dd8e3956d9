//! Reasons for rejecting a message of a peer.

use super::EntryVm;
use crate::{FleetName, PoolRoom};
use displaydoc::Display;

/// Why a message of a peer is rejected; nothing of it is applied.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Rejection {
    /// a name is empty or longer than 253 bytes
    BadName,
    /// the incarnation is 0
    NoIncarnation,
    /// a newer incarnation {held} is known
    OlderIncarnation {
        /// The known incarnation.
        held: u64,
    },
    /// the sender belongs to fleet {0}
    OtherFleet(FleetName),
    /// the sender has the name of this VM
    OwnName,
    /// a pool has {free} of {slots} slots free
    RoomAboveSlots {
        /// Reported free slots.
        free: u32,
        /// Reported total of slots.
        slots: u32,
    },
    /// an address has no host or no port
    UnspecifiedAddress,
    /// the sender has not introduced itself
    UnknownSender,
}

impl std::error::Error for Rejection {}

/// Maximum length of a name in bytes.
const MAX_NAME: usize = 253;

/// Validates the identity and the addresses of a VM in a message.
pub(super) fn check_vm(vm: &EntryVm, fleet: &FleetName) -> Result<(), Rejection> {
    if vm.fleet != *fleet {
        return Err(Rejection::OtherFleet(vm.fleet.clone()));
    }
    let names = [vm.name.as_str(), vm.region.as_str(), vm.zone.as_str()];
    if names.iter().any(|name| name.is_empty() || name.len() > MAX_NAME) {
        return Err(Rejection::BadName);
    }
    if vm.incarnation == 0 {
        return Err(Rejection::NoIncarnation);
    }
    let a = vm.addresses;
    let addresses = [a.callers, a.handoff, a.operators, a.peers];
    if addresses.iter().any(|a| a.ip().is_unspecified() || a.port() == 0) {
        return Err(Rejection::UnspecifiedAddress);
    }
    Ok(())
}

/// Validates the room of a pool in a message.
pub(super) fn check_room(room: &PoolRoom) -> Result<(), Rejection> {
    if room.free > room.slots {
        return Err(Rejection::RoomAboveSlots { free: room.free, slots: room.slots });
    }
    Ok(())
}
