//! State of all targets as protected by the lock of a table.

use super::{
    LimitNewsLog, ObjectHash, ShiftGuard, TargetAccess, WorkTime, retired_targets::RetiredTargets,
    target_state::TargetState,
};
use crate::{AvailabilityZoneName, ServiceName, ServiceRules, TargetName, VmName};
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// Identifies one incarnation of a target, and the object requested from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct TargetKey {
    pub(super) born: u64,
    pub(super) name: TargetName,
    pub(super) object: Option<ObjectHash>,
    pub(super) service: ServiceName,
}

/// Everything that the lock of a `TargetTable` protects.
#[derive(Debug)]
pub(super) struct TargetTableState {
    /// Time of the last target loss or change of the evacuated zones.
    pub(super) disrupted: Option<Instant>,
    /// Evacuated zones, with the time of the news.
    pub(super) evacuated: BTreeMap<AvailabilityZoneName, Instant>,
    pub(super) limit_news: LimitNewsLog,
    pub(super) retired: RetiredTargets,
    pub(super) rules: BTreeMap<ServiceName, ServiceRules>,
    pub(super) shift: ShiftGuard,
    pub(super) targets: BTreeMap<ServiceName, BTreeMap<TargetName, TargetState>>,
    /// Known VMs, including this one.
    pub(super) vms: BTreeSet<VmName>,
    pub(super) work: BTreeMap<ServiceName, WorkTime>,
}

impl TargetTableState {
    /// Creates the state of a table without targets.
    pub(super) fn new(shift: ShiftGuard) -> Self {
        Self {
            disrupted: None,
            evacuated: BTreeMap::new(),
            limit_news: LimitNewsLog::default(),
            retired: RetiredTargets::default(),
            rules: BTreeMap::new(),
            shift,
            targets: BTreeMap::new(),
            vms: BTreeSet::new(),
            work: BTreeMap::new(),
        }
    }

    /// Returns the state of a target if that incarnation is still known.
    pub(super) fn state(&mut self, key: &TargetKey) -> Option<&mut TargetState> {
        let state = self.targets.get_mut(&key.service)?.get_mut(&key.name)?;
        (state.record.born == key.born).then_some(state)
    }

    /// Returns this VM's part of a limit that holds for the fleet; zero until the fleet is known.
    pub(super) fn share(&self) -> f64 {
        if self.vms.is_empty() { 0.0 } else { 1.0 / self.vms.len() as f64 }
    }

    /// Changes what is believed of an incarnation, also of one that isn't registered at present.
    pub(super) fn with_access<T>(
        &mut self,
        key: &TargetKey,
        change: impl FnOnce(&mut TargetAccess) -> T,
    ) -> T {
        if let Some(state) = self.state(key) {
            return change(&mut state.access);
        }
        let mut access = self.retired.take(&key.name, key.born).unwrap_or_default();
        let result = change(&mut access);
        self.retired.keep(&key.name, key.born, access);
        result
    }

    /// Removes the registrations of a target.
    pub(super) fn remove(&mut self, name: &TargetName) {
        for targets in self.targets.values_mut() {
            if let Some(TargetState { access, record, .. }) = targets.remove(name) {
                self.retired.keep(name, record.born, access);
            }
        }
    }
}
