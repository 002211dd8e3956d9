//! Choice of the entry VM that owns a pool.

use super::PoolKey;
use crate::VmName;
use std::fmt::Display;
use xxhash_rust::xxh3::xxh3_64;

/// Chooses a pool's owner among the serving entry VMs of its zone by rendezvous hashing.
///
/// All VMs that see the same peers choose the same owner. A VM that joins or leaves moves only the
/// pools that it takes over or owned.
///
/// ```
/// use steer::{PoolKey, VmName, choose_owner};
/// let vms = [VmName::from("entry-1"), VmName::from("entry-2")];
/// let key = PoolKey::new("briefs", "lis-a");
/// assert_eq!(choose_owner(&key, &vms), choose_owner(&key, vms.iter().rev()));
/// ```
pub fn choose_owner<'a>(
    key: &PoolKey,
    vms: impl IntoIterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    choose_by_hash(key, vms)
}

/// Chooses a VM for a key by rendezvous hashing.
pub(crate) fn choose_by_hash<'a>(
    key: &impl Display,
    vms: impl IntoIterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    vms.into_iter().max_by_key(|vm| (xxh3_64(format!("{key}/{vm}").as_bytes()), *vm))
}
