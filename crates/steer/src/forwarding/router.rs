//! Shared state of an entry VM that sends directly to targets.

use super::{CrashPorts, RequestLog, RouterParts, RouterPorts};
use crate::{
    BufferBudget, FleetView, Quarantine, RetryBudget, RouteTable, ServiceName, TargetTable,
    VmHello, VmRecord, VmState,
};
use slog::{Logger, info, warn};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, RwLock},
};
use tokio::{sync::watch, time::Instant};

/// Active routes, targets, fleet view and ports of one entry VM.
#[derive(Debug)]
pub struct Router {
    table: Arc<TargetTable>,
    /// For the messages that are buffered.
    buffers: BufferBudget,
    budgets: Mutex<BTreeMap<ServiceName, RetryBudget>>,
    fleet: FleetView,
    log: RequestLog,
    crash_ports: Arc<CrashPorts>,
    ports: RouterPorts,
    /// Has a limit of its own, so that lines about requests don't displace the few about targets.
    target_log: RequestLog,
    routes: RwLock<Option<Arc<RouteTable>>>,
    /// When the process ends, once it is stopping.
    stops_at: OnceLock<Instant>,
    state: watch::Receiver<VmState>,
}

impl Router {
    /// Creates the state of a VM that has no configuration yet.
    pub fn new(parts: RouterParts, state: watch::Receiver<VmState>) -> Self {
        let location = (parts.vm.zone.clone(), parts.vm.region.clone());
        let log = RequestLog::new(parts.log.clone(), Arc::clone(&parts.ports.meter));
        let crash_ports = Arc::new(CrashPorts {
            log: log.clone(),
            meter: Arc::clone(&parts.ports.meter),
            quarantine: Quarantine::new(),
            targets: Arc::clone(&parts.ports.targets),
        });
        Self {
            crash_ports,
            table: Arc::new(TargetTable::new(
                parts.vm.name.clone(),
                location,
                parts.zones,
                parts.rules,
            )),
            buffers: BufferBudget::new(BufferBudget::ROUTER_BYTES),
            budgets: Mutex::default(),
            fleet: FleetView::new(parts.vm),
            log,
            target_log: RequestLog::new(parts.log, Arc::clone(&parts.ports.meter)),
            ports: parts.ports,
            routes: RwLock::default(),
            stops_at: OnceLock::new(),
            state,
        }
    }

    /// Returns the targets.
    pub fn target_table(&self) -> &Arc<TargetTable> {
        &self.table
    }

    /// Returns the entry VMs.
    pub fn fleet(&self) -> &FleetView {
        &self.fleet
    }

    /// Returns the requests that crash targets.
    pub fn quarantine(&self) -> &Arc<Quarantine> {
        &self.crash_ports.quarantine
    }

    /// Returns what is needed to detect that a target crashed.
    pub fn crash_ports(&self) -> &Arc<CrashPorts> {
        &self.crash_ports
    }

    /// Returns the hello for a VM, with the latest news of targets and requests.
    pub fn hello_to(&self, peer: &VmRecord) -> VmHello {
        let is_new = self.fleet.is_new(&peer.name);
        self.with_news(self.fleet.hello_to(peer), is_new)
    }

    /// Returns the hello for the VM at an address, with the latest news of targets and requests.
    pub fn hello_at(&self, peer: SocketAddr) -> VmHello {
        match self.fleet.vm_at(peer) {
            Some(peer) => self.hello_to(&peer),
            None => self.with_news(self.fleet.hello_at(peer), true),
        }
    }

    /// Adds the latest news to a hello. A new VM has missed what was told before.
    fn with_news(&self, hello: VmHello, is_new: bool) -> VmHello {
        VmHello {
            crashes: self.quarantine().news(is_new),
            limits: self.table.limit_news(),
            ..hello
        }
    }

    /// Records a hello or a reply, and the news in it.
    pub fn record_hello(&self, hello: VmHello) {
        self.table.apply_limit_news(&hello.limits);
        self.quarantine().apply_news(&hello.crashes);
        self.fleet.record_hello(hello);
    }

    /// Returns the log.
    pub fn log(&self) -> &Logger {
        self.log.log()
    }

    /// Logs and counts an object of the store that can't be read.
    pub fn record_unreadable(&self, registry: &str, name: &str, reason: &str) {
        /// Maximum number of characters of each text that are logged.
        const MAX_CHARS: usize = 200;
        let shorten = |text: &str| text.chars().take(MAX_CHARS).collect::<String>();
        self.ports.meter.count("store.unreadable", 1);
        warn!(self.log(), "store: object unreadable"; "registry" => registry,
            "object" => shorten(name), "reason" => shorten(reason));
    }

    /// Returns the log for lines about requests.
    pub fn request_log(&self) -> &RequestLog {
        &self.log
    }

    /// Returns the log for lines about the availability of targets.
    pub fn target_log(&self) -> &RequestLog {
        &self.target_log
    }

    /// Counts a line about a request against the log budget. Returns how many lines were dropped
    /// before it, or `None` if the budget is used up.
    pub fn try_acquire_log_line(&self) -> Option<u64> {
        self.log.try_acquire_line()
    }

    /// Returns the limit on messages that are buffered.
    pub fn buffer_budget(&self) -> &BufferBudget {
        &self.buffers
    }

    /// Returns the ports.
    pub fn ports(&self) -> &RouterPorts {
        &self.ports
    }

    /// Returns the active routes; `None` before the first configuration.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().expect("no writer of the routes panics").clone()
    }

    /// Returns the life cycle state of the VM.
    pub fn state(&self) -> VmState {
        *self.state.borrow()
    }

    /// Sets when the process ends. Requests that can't be answered by then are refused from now on.
    pub fn set_stop(&self, at: Instant) {
        if self.stops_at.set(at).is_err() {
            warn!(self.log(), "vm: already stopping");
        }
    }

    /// Returns when the process ends, if it is stopping.
    pub fn stops_at(&self) -> Option<Instant> {
        self.stops_at.get().copied()
    }

    /// Returns whether the VM accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.state() == VmState::Serving && self.routes().is_some()
    }

    /// Activates a configuration unless the active one is at least as new, and returns whether it
    /// did.
    pub fn activate(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.write().expect("no writer of the routes panics");
        let active = routes.as_ref().map(|table| table.version);
        if active.is_some_and(|active| active >= table.version) {
            return false;
        }
        let (version, count) = (table.version, table.len());
        self.table.set_rules(&table);
        *routes = Some(Arc::new(table));
        info!(self.log(), "settings: version in force";
            "version" => version, "before" => active, "routes" => count);
        true
    }

    /// Records a request of a service, which adds to the service's retry budget.
    pub fn record_request(&self, service: &ServiceName) {
        let mut budgets = self.budgets.lock().expect("no holder of the budgets' lock panics");
        match budgets.get_mut(service) {
            Some(budget) => budget.record_request(),
            None => budgets.entry(service.clone()).or_default().record_request(),
        }
    }

    /// Spends one retry of a service's retry budget, and returns `false` if none is left.
    pub fn try_acquire_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.budgets.lock().expect("no holder of the budgets' lock panics");
        budgets.get_mut(service).is_some_and(RetryBudget::try_acquire)
    }
}
