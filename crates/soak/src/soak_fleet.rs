//! Fleet of VM processes with their store and targets.

use crate::{
    FleetSize, HistoryRecorder, LinkFault, PlannedChange, Proxy, SoakTarget, VmProcess,
    stand_ins::{configuration, registration},
};
use lab::{ObjectStore, StoreFault};
use serde_json::{Value, json};
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::sync::Mutex;

/// Availability zones with their regions.
pub(crate) const ZONES: [(&str, &str); 3] =
    [("lis-a", "lisboa"), ("lis-b", "lisboa"), ("por-a", "porto")];
/// Indices of the VMs' zones in [`ZONES`], repeated for large fleets.
const VM_ZONES: [usize; 8] = [0, 1, 0, 1, 0, 1, 2, 2];
/// Services of the targets. Each configuration changes the service of the route `moved` to the
/// other one.
pub(crate) const SERVICES: [&str; 2] = ["briefs", "media"];
/// Maximum number of routes that no caller uses; a configuration is relayed in three parts then.
const MAX_ROUTES: usize = 800;
/// Time that a VM has for its shutdown, as set in `grace_s`.
pub(crate) const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);

/// Listen addresses of a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) directory: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
    pub(crate) ready: SocketAddr,
}

/// Running fleet of VMs, with its store and targets.
#[derive(Debug)]
pub struct SoakFleet {
    folder: PathBuf,
    pub(crate) recorder: Arc<HistoryRecorder>,
    pub(crate) addresses: Vec<ListenAddresses>,
    pub(crate) processes: Vec<Mutex<VmProcess>>,
    /// Number of routes of a configuration that no caller uses.
    routes: AtomicUsize,
    store: ObjectStore,
    store_proxies: Vec<Proxy>,
    pub(crate) targets: Vec<SoakTarget>,
    version: AtomicU32,
}

/// Returns an unused loopback address. The IP address depends on the process and the call, so that
/// an outgoing connection doesn't occupy the port before the VM binds it.
fn free_address() -> io::Result<SocketAddr> {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = process::id().to_be_bytes();
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind((Ipv4Addr::new(127, high | 1, low, call), 0))?.local_addr()
}

impl SoakFleet {
    /// Starts the store, the targets and the VMs; settings and logs go into `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the store, a target or a VM can't be started.
    pub async fn start(program: &Path, folder: &Path, size: FleetSize) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let recorder = Arc::new(HistoryRecorder::default());
        let store = ObjectStore::default();
        let (address, _) = store.serve(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let (mut store_proxies, mut addresses, mut targets) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..size.targets() {
            let zone = ZONES[number % ZONES.len()].0;
            let service = SERVICES[number / ZONES.len() % SERVICES.len()];
            targets.push(SoakTarget::start(number, service, zone, Arc::clone(&recorder)).await?);
        }
        for _ in 0..size.vms() {
            store_proxies.push(Proxy::start(address).await?);
            addresses.push(ListenAddresses {
                callers: free_address()?,
                directory: free_address()?,
                metrics: free_address()?,
                peers: free_address()?,
                ready: free_address()?,
            });
        }
        let mut fleet = Self {
            folder: folder.into(),
            recorder,
            store_proxies,
            addresses,
            processes: Vec::new(),
            routes: AtomicUsize::new(0),
            store,
            targets,
            version: AtomicU32::new(0),
        };
        fleet.write_configuration();
        (0..size.targets()).for_each(|number| fleet.register(number, "ready"));
        for vm in 0..size.vms() {
            let process = fleet.start_vm(program, vm)?;
            fleet.processes.push(Mutex::new(process));
        }
        Ok(fleet)
    }

    fn start_vm(&self, program: &Path, vm: usize) -> io::Result<VmProcess> {
        let (zone, region) = ZONES[VM_ZONES[vm % VM_ZONES.len()]];
        let addresses = &self.addresses[vm];
        let zones: serde_json::Map<String, Value> =
            ZONES.iter().map(|(zone, region)| ((*zone).to_owned(), json!(region))).collect();
        let settings = json!({
            "callers": addresses.callers, "cold_burst": 5, "cold_factor": 1.5, "cores": 1,
            "cpu_share": 0.2, "descriptors": 1024, "directory": addresses.directory,
            "grace_s": SHUTDOWN_GRACE.as_secs(),
            "max_shift": 0.15, "metrics": addresses.metrics, "name": format!("entry-{vm}"),
            "peers": addresses.peers, "ready": addresses.ready, "region": region,
            "seeds": [self.addresses[0].peers], "store": self.store_proxies[vm].address(),
            "zone": zone, "zones": zones,
        });
        let file = self.folder.join(format!("entry-{vm}.jsonc"));
        fs::write(&file, settings.to_string())?;
        VmProcess::start(program, &file, &self.folder.join(format!("entry-{vm}.log")))
    }

    /// Writes the next configuration, which changes the service of the route `moved` to the other
    /// one.
    pub fn write_configuration(&self) {
        /// Leaves gaps between versions, which need not be consecutive.
        const VERSION_STEP: u32 = 3;
        let version = self.version.fetch_add(VERSION_STEP, Ordering::Relaxed) + VERSION_STEP;
        let service = SERVICES[(version / VERSION_STEP) as usize % SERVICES.len()];
        let spec = configuration(version, service, self.routes.load(Ordering::Relaxed));
        self.store.put("config", "main", spec, Value::Null);
        self.recorder.record_change(PlannedChange::Configured(service));
    }

    /// Adds routes to the configurations that are written from now on.
    pub(crate) fn add_routes(&self, count: usize) {
        let routes = self.routes.load(Ordering::Relaxed) + count;
        self.routes.store(routes.min(MAX_ROUTES), Ordering::Relaxed);
    }

    /// Registers a target in the given state.
    pub(crate) fn register(&self, number: usize, state: &str) {
        let target = &self.targets[number];
        let (spec, status) = registration(target, state);
        self.store.put("servers", &target.name(), spec, status);
    }

    /// Removes a target's registration.
    pub(crate) fn deregister(&self, number: usize) {
        self.store.remove("servers", &self.targets[number].name());
    }

    /// Starts the evacuation of a zone, or cancels it.
    pub(crate) fn set_evacuated(&self, zone: usize, evacuated: bool) {
        if evacuated {
            self.store.put("evacuations", ZONES[zone].0, json!({}), Value::Null);
            self.recorder.record_change(PlannedChange::Evacuated(zone));
            return;
        }
        self.store.remove("evacuations", ZONES[zone].0);
        self.recorder.record_change(PlannedChange::EvacuationCancelled(zone));
    }

    /// Injects a fault into the connections of a VM to the store.
    pub(crate) fn set_store_link_fault(&self, vm: usize, fault: LinkFault) {
        self.store_proxies[vm].set_fault(fault);
    }

    /// Injects a fault into the store.
    pub(crate) fn set_store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Compacts the store's history.
    pub(crate) fn compact(&self) {
        self.store.compact();
    }
}
