//! Followers that apply the contents and changes of the store's registries to the router.

use super::Follower;
use crate::{
    AvailabilityZoneName, Change, Listing, RouteTable, Router, TargetName, TargetRecord, VmRecord,
};
use slog::{info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// Activates new configurations.
#[derive(Debug)]
pub struct ConfigurationFollower {
    router: Arc<Router>,
}

impl ConfigurationFollower {
    /// Creates a follower that activates configurations in a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { router }
    }

    fn log_refused(&self, name: &str, reason: &str) {
        warn!(self.router.log(), "settings: version refused"; "object" => name, "reason" => reason);
        self.router.record_unreadable(self.name(), name, reason);
    }
}

impl Follower<RouteTable> for ConfigurationFollower {
    fn apply(&self, change: Change<RouteTable>) {
        match change {
            Change::Put(_, table) => {
                self.router.activate(table);
            }
            // Keep the active routes: operators replace a configuration and never remove it.
            Change::Removed(name) => self.log_refused(&name, "removed"),
            Change::Unreadable(name, reason) => self.log_refused(&name, &reason),
        }
    }

    fn name(&self) -> &'static str {
        "configuration"
    }

    fn replace(&self, listing: Listing<RouteTable>) {
        for (name, reason) in &listing.unreadable {
            self.log_refused(name, reason);
        }
        for table in listing.items.into_values() {
            self.router.activate(table);
        }
    }
}

/// Tracks the evacuated availability zones.
#[derive(Debug)]
pub struct EvacuationFollower {
    router: Arc<Router>,
    zones: Mutex<BTreeSet<AvailabilityZoneName>>,
}

impl EvacuationFollower {
    /// Creates a follower that applies evacuations to a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { router, zones: Mutex::default() }
    }

    fn add(&self, name: &str) {
        self.update(|zones| {
            zones.insert(name.into());
        });
    }

    fn update(&self, change: impl FnOnce(&mut BTreeSet<AvailabilityZoneName>)) {
        let mut zones = self.zones.lock().expect("no holder of the zones' lock panics");
        let before = zones.clone();
        change(&mut zones);
        if before != *zones {
            info!(self.router.log(), "placement: evacuated zones changed"; "zones" => ?*zones);
            self.router.target_table().set_evacuated(zones.clone());
        }
    }
}

impl Follower<()> for EvacuationFollower {
    fn apply(&self, change: Change<()>) {
        match change {
            // The object's name alone identifies the zone, so its content may be unreadable.
            Change::Put(name, ()) => self.add(&name),
            Change::Unreadable(name, reason) => {
                self.router.record_unreadable(self.name(), &name, &reason);
                self.add(&name);
            }
            Change::Removed(name) => self.update(|zones| {
                zones.remove(&*name);
            }),
        }
    }

    fn name(&self) -> &'static str {
        "evacuations"
    }

    fn replace(&self, listing: Listing<()>) {
        for (name, reason) in &listing.unreadable {
            self.router.record_unreadable(self.name(), name, reason);
        }
        let names = listing.items.into_keys().chain(listing.unreadable.into_keys());
        let all = names.map(|name| AvailabilityZoneName::from(&*name)).collect();
        self.update(|zones| *zones = all);
    }
}

/// Targets that are to be removed once their grace period ends.
#[derive(Debug, Default)]
struct PendingRemovals {
    deadlines: BTreeMap<TargetName, Instant>,
    /// When the store last recovered; `None` if there was no outage yet, or if only this VM
    /// couldn't reach the store in the last one.
    recovered_at: Option<Instant>,
}

/// Tracks the targets. A target whose registration is removed within [`Self::RECOVERY_GRACE`] of
/// the store's recovery is kept until the end of that period, so that a live target can register
/// again.
#[derive(Debug)]
pub struct TargetFollower {
    removals: Mutex<PendingRemovals>,
    router: Arc<Router>,
}

impl TargetFollower {
    /// Time after the store's recovery within which live targets register again.
    pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

    /// Creates a follower that applies target registrations to a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { removals: Mutex::default(), router }
    }

    fn lock(&self) -> MutexGuard<'_, PendingRemovals> {
        self.removals.lock().expect("no holder of the removals' lock panics")
    }

    fn put(&self, record: TargetRecord) {
        self.lock().deadlines.remove(&record.name);
        let report = self.router.quarantine().record_registration(&record);
        self.router.crash_ports().log_crash(report);
        self.router.target_table().apply(record);
    }

    fn remove(&self, name: TargetName) {
        let mut removals = self.lock();
        let until = removals.recovered_at.map(|at| at + Self::RECOVERY_GRACE);
        match until.filter(|until| *until > Instant::now()) {
            Some(until) => {
                removals.deadlines.insert(name, until);
            }
            None => {
                info!(self.router.log(), "placement: target left"; "target" => %name);
                self.router.target_table().remove(&name);
            }
        }
    }
}

impl Follower<TargetRecord> for TargetFollower {
    fn apply(&self, change: Change<TargetRecord>) {
        match change {
            Change::Put(_, record) => self.put(record),
            Change::Removed(name) => self.remove((&*name).into()),
            Change::Unreadable(name, reason) => {
                self.router.record_unreadable(self.name(), &name, &reason);
                self.remove((&*name).into());
            }
        }
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.lock().deadlines.values().min().copied()
    }

    fn on_store_lost(&self) {
        self.router.fleet().record_outdated();
    }

    fn name(&self) -> &'static str {
        "targets"
    }

    fn on_store_recovered(&self) {
        // Only an outage of the store itself lets live targets' registrations expire, so only then
        // is there a grace period.
        let was_down = self.router.fleet().record_current();
        self.lock().recovered_at = was_down.then(Instant::now);
    }

    fn replace(&self, listing: Listing<TargetRecord>) {
        for (name, reason) in &listing.unreadable {
            self.router.record_unreadable(self.name(), name, reason);
        }
        let mut missing = self.router.target_table().names();
        for record in listing.items.into_values() {
            missing.remove(&record.name);
            self.put(record);
        }
        missing.into_iter().for_each(|name| self.remove(name));
    }

    fn run_due(&self) {
        let now = Instant::now();
        let due: Vec<TargetName> = {
            let mut removals = self.lock();
            let due = removals.deadlines.iter().filter(|(_, at)| **at <= now);
            let due = due.map(|(name, _)| name.clone()).collect();
            removals.deadlines.retain(|_, at| *at > now);
            due
        };
        for name in due {
            info!(self.router.log(), "placement: target did not return"; "target" => %name);
            self.router.target_table().remove(&name);
        }
    }
}

/// Tracks the registered entry VMs.
#[derive(Debug)]
pub struct VmFollower {
    router: Arc<Router>,
}

impl VmFollower {
    /// Creates a follower that applies VM registrations to a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { router }
    }
}

impl Follower<VmRecord> for VmFollower {
    fn apply(&self, change: Change<VmRecord>) {
        match change {
            Change::Put(_, vm) => self.router.fleet().add_registered(vm),
            Change::Removed(name) => self.router.fleet().remove_registered(&(&*name).into()),
            Change::Unreadable(name, reason) => {
                self.router.record_unreadable(self.name(), &name, &reason);
                self.router.fleet().remove_registered(&(&*name).into());
            }
        }
    }

    fn name(&self) -> &'static str {
        "entry VMs"
    }

    fn replace(&self, listing: Listing<VmRecord>) {
        for (name, reason) in &listing.unreadable {
            self.router.record_unreadable(self.name(), name, reason);
        }
        let registered = listing.items.values().map(|vm| vm.name.clone()).collect();
        listing.items.into_values().for_each(|vm| self.router.fleet().add_registered(vm));
        self.router.fleet().set_registry_read(&registered);
        self.router.target_table().set_vms(self.router.fleet().known());
    }
}
