//! What VMs tell each other.

use super::VmRecord;
use crate::VmName;
use std::collections::BTreeSet;

/// A greeting between two VMs, and the reply to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmHello {
    /// The sender takes no new callers.
    pub leaving: bool,
    /// The live VMs of the sender's region, for a receiver in another one; empty for one in the
    /// same region, which greets them itself.
    pub live: BTreeSet<VmName>,
    /// The sender does not reach the store.
    pub store_lost: bool,
    /// The sender.
    pub vm: VmRecord,
}
