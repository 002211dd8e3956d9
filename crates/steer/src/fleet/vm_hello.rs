//! What VMs tell each other.

use super::VmRecord;

/// A greeting between two VMs, and the reply to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmHello {
    /// The sender takes no new callers.
    pub leaving: bool,
    /// The sender does not reach the store.
    pub store_lost: bool,
    /// The sender.
    pub vm: VmRecord,
}
