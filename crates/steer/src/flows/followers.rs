//! What a VM does with each registry of the store.

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

/// Puts configurations in force.
#[derive(Debug)]
pub struct ConfigurationFollower {
    router: Arc<Router>,
}

impl ConfigurationFollower {
    /// Follows the configuration for a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { router }
    }

    fn refuse(&self, name: &str, reason: &str) {
        warn!(self.router.log(), "settings: version refused"; "object" => name, "reason" => reason);
    }
}

impl Follower<RouteTable> for ConfigurationFollower {
    fn apply(&self, change: Change<RouteTable>) {
        match change {
            Change::Put(_, table) => {
                self.router.put_in_force(table);
            }
            // The routes in force stay: an operator replaces a configuration, never removes it.
            Change::Removed(name) => self.refuse(&name, "removed"),
            Change::Unreadable(name, reason) => self.refuse(&name, &reason),
        }
    }

    fn name(&self) -> &'static str {
        "configuration"
    }

    fn replace(&self, listing: Listing<RouteTable>) {
        for (name, reason) in &listing.unreadable {
            self.refuse(name, reason);
        }
        for table in listing.items.into_values() {
            self.router.put_in_force(table);
        }
    }
}

/// Keeps the evacuated availability zones.
#[derive(Debug)]
pub struct EvacuationFollower {
    router: Arc<Router>,
    zones: Mutex<BTreeSet<AvailabilityZoneName>>,
}

impl EvacuationFollower {
    /// Follows the evacuations for a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { router, zones: Mutex::default() }
    }

    fn change(&self, change: impl FnOnce(&mut BTreeSet<AvailabilityZoneName>)) {
        let mut zones = self.zones.lock().expect("no holder of the zones' lock panics");
        let before = zones.clone();
        change(&mut zones);
        if before != *zones {
            info!(self.router.log(), "placement: evacuated zones changed"; "zones" => ?*zones);
            self.router.board().set_evacuated(zones.clone());
        }
    }
}

impl Follower<()> for EvacuationFollower {
    fn apply(&self, change: Change<()>) {
        match change {
            // The object's name alone says which zone is meant.
            Change::Put(name, ()) | Change::Unreadable(name, _) => {
                self.change(|zones| {
                    zones.insert((&*name).into());
                });
            }
            Change::Removed(name) => self.change(|zones| {
                zones.remove(&*name);
            }),
        }
    }

    fn name(&self) -> &'static str {
        "evacuations"
    }

    fn replace(&self, listing: Listing<()>) {
        let names = listing.items.into_keys().chain(listing.unreadable.into_keys());
        let all = names.map(|name| AvailabilityZoneName::from(&*name)).collect();
        self.change(|zones| *zones = all);
    }
}

#[derive(Debug, Default)]
struct Removals {
    due: BTreeMap<TargetName, Instant>,
    returned: Option<Instant>,
}

/// Keeps the targets. A target whose registration lapsed while the store was away stays for a
/// while after the store's return, as a live one registers again.
#[derive(Debug)]
pub struct TargetFollower {
    removals: Mutex<Removals>,
    router: Arc<Router>,
}

impl TargetFollower {
    /// Time after the store's return within which live targets are registered again.
    pub const RETURN_GRACE: Duration = Duration::from_secs(2);

    /// Follows the targets for a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { removals: Mutex::default(), router }
    }

    fn lock(&self) -> MutexGuard<'_, Removals> {
        self.removals.lock().expect("no holder of the removals' lock panics")
    }

    fn put(&self, record: TargetRecord) {
        self.lock().due.remove(&record.name);
        self.router.board().apply(record);
    }

    fn remove(&self, name: TargetName) {
        let mut removals = self.lock();
        let until = removals.returned.map(|at| at + Self::RETURN_GRACE);
        match until.filter(|until| *until > Instant::now()) {
            Some(until) => {
                removals.due.insert(name, until);
            }
            None => {
                info!(self.router.log(), "placement: target left"; "target" => %name);
                self.router.board().remove(&name);
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
                warn!(self.router.log(), "placement: registration unreadable";
                    "target" => &*name, "reason" => reason);
                self.remove((&*name).into());
            }
        }
    }

    fn due(&self) -> Option<Instant> {
        self.lock().due.values().min().copied()
    }

    fn lose(&self) {
        self.router.fleet().note_store_lost();
    }

    fn name(&self) -> &'static str {
        "targets"
    }

    fn regain(&self) {
        // Registrations lapse while the store is away, not while this VM alone can't reach it.
        let was_away = self.router.fleet().note_store_back();
        self.lock().returned = was_away.then(Instant::now);
    }

    fn replace(&self, listing: Listing<TargetRecord>) {
        let mut missing = self.router.board().names();
        for record in listing.items.into_values() {
            missing.remove(&record.name);
            self.put(record);
        }
        missing.into_iter().for_each(|name| self.remove(name));
    }

    fn settle(&self) {
        let now = Instant::now();
        let due: Vec<TargetName> = {
            let mut removals = self.lock();
            let due = removals.due.iter().filter(|(_, at)| **at <= now);
            let due = due.map(|(name, _)| name.clone()).collect();
            removals.due.retain(|_, at| *at > now);
            due
        };
        for name in due {
            info!(self.router.log(), "placement: target did not return"; "target" => %name);
            self.router.board().remove(&name);
        }
    }
}

/// Keeps the registered entry VMs.
#[derive(Debug)]
pub struct VmFollower {
    router: Arc<Router>,
}

impl VmFollower {
    /// Follows the entry VMs for a router.
    pub fn new(router: Arc<Router>) -> Self {
        Self { router }
    }
}

impl Follower<VmRecord> for VmFollower {
    fn apply(&self, change: Change<VmRecord>) {
        match change {
            Change::Put(_, vm) => self.router.fleet().note_listed(vm),
            Change::Removed(name) | Change::Unreadable(name, _) => {
                self.router.fleet().note_unlisted(&(&*name).into());
            }
        }
    }

    fn name(&self) -> &'static str {
        "entry VMs"
    }

    fn replace(&self, listing: Listing<VmRecord>) {
        listing.items.into_values().for_each(|vm| self.router.fleet().note_listed(vm));
        self.router.fleet().note_all_listed();
        self.router.board().set_vms(self.router.fleet().known());
    }
}
