//! The shared state of an entry VM that sends straight to targets.

use super::{LogBudget, RouterParts, RouterPorts};
use crate::{FleetView, RetryBudget, RouteTable, ServiceName, TargetBoard, VmState};
use slog::{Logger, info};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, RwLock},
};
use tokio::{sync::watch, time::Instant};

/// Routes in force, targets, fleet and ports of one entry VM.
#[derive(Debug)]
pub struct Router {
    board: Arc<TargetBoard>,
    budgets: Mutex<BTreeMap<ServiceName, RetryBudget>>,
    fleet: FleetView,
    lines: Mutex<LogBudget>,
    log: Logger,
    ports: RouterPorts,
    routes: RwLock<Option<Arc<RouteTable>>>,
    state: watch::Receiver<VmState>,
}

impl Router {
    /// Log lines about requests that are written a second; the rest are counted.
    const MOST_LINES: u32 = 40;

    /// Makes the state of a VM that has no configuration yet.
    pub fn new(parts: RouterParts, state: watch::Receiver<VmState>) -> Self {
        let here = (parts.vm.zone.clone(), parts.vm.region.clone());
        Self {
            board: Arc::new(TargetBoard::new(
                parts.vm.name.clone(),
                here,
                parts.zones,
                parts.rules,
            )),
            budgets: Mutex::default(),
            fleet: FleetView::new(parts.vm),
            lines: Mutex::new(LogBudget::new(Self::MOST_LINES)),
            log: parts.log,
            ports: parts.ports,
            routes: RwLock::default(),
            state,
        }
    }

    /// The targets.
    pub fn board(&self) -> &Arc<TargetBoard> {
        &self.board
    }

    /// The entry VMs.
    pub fn fleet(&self) -> &FleetView {
        &self.fleet
    }

    /// The log.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Takes a log line about a request, and gives the number of lines dropped before it; `None`
    /// where there are too many.
    pub fn take_line(&self) -> Option<u64> {
        let mut lines = self.lines.lock().expect("no holder of the lines' lock panics");
        let line = lines.take(Instant::now());
        if line.is_none() {
            self.ports.meter.count("log.dropped", 1);
        }
        line
    }

    /// The ports.
    pub fn ports(&self) -> &RouterPorts {
        &self.ports
    }

    /// The routes in force; `None` before the first configuration.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().expect("no writer of the routes panics").clone()
    }

    /// State of the VM's life.
    pub fn state(&self) -> VmState {
        *self.state.borrow()
    }

    /// Whether the VM takes new callers.
    pub fn is_ready(&self) -> bool {
        self.state() == VmState::Serving && self.routes().is_some()
    }

    /// Puts a configuration in force, unless one at least as new is; tells whether it did.
    pub fn put_in_force(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.write().expect("no writer of the routes panics");
        let held = routes.as_ref().map(|table| table.version);
        if held.is_some_and(|held| held >= table.version) {
            return false;
        }
        let (version, count) = (table.version, table.len());
        self.board.set_rules(&table);
        *routes = Some(Arc::new(table));
        info!(self.log, "settings: version in force";
            "version" => version, "before" => held, "routes" => count);
        true
    }

    /// Notes a request of a service, which adds to its budget of retries.
    pub fn note_request(&self, service: &ServiceName) {
        let mut budgets = self.budgets.lock().expect("no holder of the budgets' lock panics");
        match budgets.get_mut(service) {
            Some(budget) => budget.note_request(),
            None => budgets.entry(service.clone()).or_default().note_request(),
        }
    }

    /// Takes one retry from a service's budget, if there is one.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.budgets.lock().expect("no holder of the budgets' lock panics");
        budgets.get_mut(service).is_some_and(RetryBudget::take)
    }
}
