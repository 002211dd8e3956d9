//! A fleet of entry VMs in one process, connected by fake peer and platform ports.

#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "a test may panic, and not each test uses every helper"
)]

mod fake_peers;
mod fake_platform;

pub(crate) use self::{fake_peers::FakePeers, fake_platform::FakePlatform};
use async_trait::async_trait;
use http::{Request, Response};
use slog::{Discard, Logger, o};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{
    Body, EntryNode, EntryPorts, EntryVm, LoadError, LoadReport, NoMeter, NoTracer,
    PlatformBreaker, PlatformVm, SendError, SettingsPath, StopLimits, SystemClock, Targets, Vm,
    VmAddresses, VmRole, VmState, run_entry,
};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// State shared by the fakes: partitions, running nodes and the platform.
#[derive(Debug, Default)]
pub(crate) struct FakeNetwork {
    pub(crate) partitions: Mutex<BTreeSet<(String, String)>>,
    pub(crate) nodes: Mutex<BTreeMap<SocketAddr, Arc<EntryNode>>>,
    pub(crate) platform: FakePlatform,
}

impl FakeNetwork {
    /// Whether two named zones, VMs or the platform can reach each other.
    pub(crate) fn reaches(&self, a: &str, b: &str) -> bool {
        let partitions = self.partitions.lock().unwrap();
        !partitions.contains(&(a.to_owned(), b.to_owned()))
            && !partitions.contains(&(b.to_owned(), a.to_owned()))
    }

    pub(crate) fn partition(&self, a: &str, b: &str) {
        self.partitions.lock().unwrap().insert((a.to_owned(), b.to_owned()));
    }

    pub(crate) fn heal(&self) {
        self.partitions.lock().unwrap().clear();
    }
}

#[derive(Debug)]
struct UnusedTargets;

#[async_trait]
impl Targets for UnusedTargets {
    async fn send(&self, _: SocketAddr, r: Request<Body>) -> Result<Response<Body>, SendError> {
        Err(SendError::not_sent("no targets", r))
    }

    async fn read_load(&self, _: SocketAddr) -> Result<LoadReport, LoadError> {
        Err(LoadError { reason: "no targets".into() })
    }
}

/// A running entry VM.
#[derive(Debug)]
pub(crate) struct RunningVm {
    pub(crate) node: Arc<EntryNode>,
    pub(crate) stop: Arc<Notify>,
    pub(crate) task: JoinHandle<()>,
}

/// A fleet of entry VMs by number.
#[derive(Debug, Default)]
pub(crate) struct TestFleet {
    pub(crate) network: Arc<FakeNetwork>,
    pub(crate) starts: u64,
    pub(crate) vms: BTreeMap<usize, RunningVm>,
}

impl TestFleet {
    pub(crate) fn entry_vm(number: usize, shape: (usize, usize), incarnation: u64) -> EntryVm {
        let (zones, vms) = shape;
        let zone = number / vms;
        let at = |port: u16| {
            SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8 + 1], port))
        };
        EntryVm {
            addresses: VmAddresses {
                callers: at(1),
                handoff: at(2),
                operators: at(3),
                peers: at(4),
            },
            fleet: "test".into(),
            incarnation,
            name: format!("vm-{number:03}").into(),
            region: format!("region-{}", zone / zones).into(),
            zone: format!("zone-{zone}").into(),
        }
    }

    /// Starts a fleet with a number of regions, of zones per region and of VMs per zone. The platform
    /// lists the VMs and has initial settings.
    pub(crate) async fn start(regions: usize, zones: usize, vms: usize) -> Self {
        let mut fleet = Self::default();
        let total = regions * zones * vms;
        fleet.network.platform.put("settings/fleet", &fleet_settings(0));
        let listed = (0..total).map(|n| to_platform_vm(&Self::entry_vm(n, (zones, vms), 1)));
        fleet.network.platform.set_vms(listed.collect());
        for number in 0..total {
            fleet.run(number, (zones, vms), &[]);
        }
        fleet
    }

    pub(crate) fn run(&mut self, number: usize, shape: (usize, usize), seeds: &[SocketAddr]) {
        self.starts += 1;
        let vm = Self::entry_vm(number, shape, self.starts);
        let address = vm.addresses.peers;
        let (zone, region) = (vm.zone.to_string(), vm.region.to_string());
        let platform = FakePlatform::for_zone(&self.network, &zone);
        let ports = EntryPorts {
            clock: Arc::new(SystemClock),
            meter: Arc::new(NoMeter),
            peers: Arc::new(FakePeers::new(&self.network, &vm.name, zone, region)),
            platform: Arc::new(PlatformBreaker::new(platform, Arc::new(NoMeter), vm.name.as_str())),
            targets: Arc::new(UnusedTargets),
            tracer: Arc::new(NoTracer),
        };
        let (joining, state) = Vm::join();
        let node = Arc::new(EntryNode::new(vm, ports, state, Logger::root(Discard, o!())));
        node.set_seeds(seeds.iter().copied());
        self.network.nodes.lock().unwrap().insert(address, Arc::clone(&node));
        let stop = Arc::new(Notify::new());
        let (running, stop_signal) = (Arc::clone(&node), Arc::clone(&stop));
        let network = Arc::clone(&self.network);
        let task = tokio::spawn(async move {
            let (stop_sender, signals) = mpsc::channel(1);
            tokio::spawn(async move {
                stop_signal.notified().await;
                stop_sender.send(()).await.unwrap();
            });
            let rules = StopLimits::default().linger(Duration::ZERO);
            run_entry(Arc::clone(&running), joining, signals, rules).await;
            network.nodes.lock().unwrap().retain(|_, held| !Arc::ptr_eq(held, &running));
        });
        self.vms.insert(number, RunningVm { node, stop, task });
    }

    /// Kills a VM without a drain.
    pub(crate) fn kill(&mut self, number: usize) -> Arc<EntryNode> {
        let vm = self.vms.remove(&number).unwrap();
        vm.task.abort();
        self.network.nodes.lock().unwrap().remove(&vm.node.vm().addresses.peers);
        vm.node
    }

    pub(crate) fn node(&self, number: usize) -> &Arc<EntryNode> {
        &self.vms[&number].node
    }

    /// The time until a condition holds on all VMs; `None` if it takes more than ten seconds.
    pub(crate) async fn wait_until(
        &self,
        condition: impl Fn(&EntryNode) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if self.vms.values().all(|vm| condition(&vm.node)) {
                return Some(start.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// The time until all VMs serve and know each other.
    pub(crate) async fn wait_until_joined(&self) -> Option<Duration> {
        let total = self.vms.len();
        self.wait_until(|n| n.state() == VmState::Serving && serving_peers(n).len() == total - 1)
            .await
    }

    /// Writes new fleet settings to the platform and returns their version.
    pub(crate) fn change_settings(&self, step: u64) -> u64 {
        self.network.platform.put("settings/fleet", &fleet_settings(step))
    }
}

pub(crate) fn serving_peers(node: &EntryNode) -> Vec<String> {
    node.serving_peers().iter().map(ToString::to_string).collect()
}

pub(crate) fn fleet_version(node: &EntryNode) -> u64 {
    node.with_tree(|tree| tree.version(&SettingsPath::Fleet)).unwrap_or_default()
}

pub(crate) fn fleet_settings(step: u64) -> String {
    format!(
        r#"{{ "fleet": "test", "teams": {{ "a": {{ "max_shift": 1, "services": [] }} }},
            "members": {{ "m{step}": {{ "weight": 1 }} }},
            "regions": {{ "region-0": {{ "delay_ms": 5, "zones": ["zone-0"] }} }} }}"#
    )
}

pub(crate) fn to_platform_vm(vm: &EntryVm) -> PlatformVm {
    PlatformVm {
        address: vm.addresses.peers,
        kind: VmRole::Entry,
        leaving: false,
        name: vm.name.as_str().into(),
        zone: vm.zone.clone(),
    }
}

/// Formats a time for the tables, rounded up to a tenth of a second.
pub(crate) fn format_time(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |t| format!("{:.1} s", (t.as_secs_f64() * 10.0).ceil() / 10.0))
}
