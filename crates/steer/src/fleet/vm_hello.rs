//! The hello message that VMs exchange.

use super::{VmRecord, ZoneReport};
use crate::{AvailabilityZoneName, CrashNews, LimitNews, VmName};
use std::collections::BTreeSet;

/// A hello between two VMs; the reply has the same form.
#[derive(Clone, Debug, PartialEq)]
pub struct VmHello {
    /// Latest news of requests that were running when targets crashed.
    pub crashes: Vec<CrashNews>,
    /// Whether the sender is leaving the fleet and accepts no new callers.
    pub leaving: bool,
    /// Latest changes of the limits that targets ask for.
    pub limits: Vec<LimitNews>,
    /// Live VMs of the sender's region, for a receiver in another region that can't read reports.
    pub live: BTreeSet<VmName>,
    /// Whether no changes in the store reach the sender, neither from the store nor from other VMs.
    pub outdated: bool,
    /// Live VMs of availability zones that the sender observes or has reports about. `None` if the
    /// sender can't read reports.
    pub reports: Option<Vec<ZoneReport>>,
    /// Whether the sender's own calls to the store fail.
    pub store_lost: bool,
    /// Identity of the sender.
    pub vm: VmRecord,
    /// Availability zones in whose reports the names are missing.
    pub wanted: BTreeSet<AvailabilityZoneName>,
}

impl VmHello {
    /// Creates the hello of a VM that serves and has nothing to report.
    ///
    /// ```
    /// # let vm = steer::VmRecord {
    /// #     callers: "10.0.0.1:80".parse().unwrap(),
    /// #     capacity: 200,
    /// #     incarnation: 1,
    /// #     name: "entry-1".into(),
    /// #     peers: "10.0.0.1:81".parse().unwrap(),
    /// #     region: "lisboa".into(),
    /// #     zone: "lis-a".into(),
    /// # };
    /// assert!(!steer::VmHello::new(vm).leaving);
    /// ```
    pub fn new(vm: VmRecord) -> Self {
        Self {
            crashes: Vec::new(),
            leaving: false,
            limits: Vec::new(),
            live: BTreeSet::new(),
            outdated: false,
            reports: Some(Vec::new()),
            store_lost: false,
            vm,
            wanted: BTreeSet::new(),
        }
    }
}
