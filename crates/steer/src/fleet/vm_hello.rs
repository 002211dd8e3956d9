//! The hello message that VMs exchange.

use super::VmRecord;
use crate::{LimitNews, VmName};
use std::collections::BTreeSet;

/// A hello between two VMs; the reply has the same form.
#[derive(Clone, Debug, PartialEq)]
pub struct VmHello {
    /// Whether the sender is leaving the fleet and accepts no new callers.
    pub leaving: bool,
    /// Latest changes of the limits that targets ask for.
    pub limits: Vec<LimitNews>,
    /// Live VMs of the sender's region, for a receiver in another region; empty for a receiver in
    /// the same region, which exchanges hellos with them itself.
    pub live: BTreeSet<VmName>,
    /// Whether the sender can't reach the store.
    pub store_lost: bool,
    /// Identity of the sender.
    pub vm: VmRecord,
}
