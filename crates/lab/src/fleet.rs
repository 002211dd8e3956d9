//! A complete fleet on loopback: entry VMs, and stand-ins for the platform, links and targets.

use crate::{
    Deployment, LinkStandIn, Network, PlatformStandIn, RelaySwitch, TargetStandIn,
    linked_peers::{DEPLOYMENT_VARIABLE, ZONE_VARIABLE},
};
use adapters::PlatformVmBody;
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    error::Error,
    fs,
    path::PathBuf,
    sync::Arc,
    time::Duration,
};
use steer::{AvailabilityZoneName, RegionName, Snapshot, TargetName};
use tokio::{
    process::{Child, Command},
    time::timeout,
};

/// Bandwidth limit of links within a region, in bytes per second.
const LOCAL_CAP_BYTES: u64 = 10_000_000_000 / 8;
/// Maximum time for an entry VM to exit after it was asked to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// A running fleet. Its entry VMs are child processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Directory for the process settings, logs and traces of this run.
    pub directory: PathBuf,
    /// Entry VMs by number.
    pub entry_vms: BTreeMap<u8, Child>,
    /// Links by pair of regions; each pair is in alphabetical order.
    pub links: BTreeMap<(RegionName, RegionName), Arc<LinkStandIn>>,
    /// Loopback addresses of this run.
    pub network: Network,
    /// Stand-in for the platform.
    pub platform: Arc<PlatformStandIn>,
    /// The settings with which the fleet started.
    pub snapshot: Snapshot,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Arc<TargetStandIn>>,
    /// Requested stops that timed out or ended with an exit code other than 0.
    pub unclean_stops: u64,
    deployment: Deployment,
    capacity_factor: f64,
    relays: Vec<Relay>,
    /// Entry VMs that were asked to stop and whose exit hasn't been awaited yet.
    stopping: BTreeSet<u8>,
}

/// A TCP relay between two availability zones.
#[derive(Debug)]
struct Relay {
    zones: [AvailabilityZoneName; 2],
    platform: bool,
    switch: RelaySwitch,
}

/// Finds an unused loopback network and starts serving the platform on it.
pub(crate) async fn free_network(
    platform: &Arc<PlatformStandIn>,
) -> Result<Network, Box<dyn Error>> {
    let first = std::process::id();
    for n in 0..u32::from(Network::COUNT) {
        let network = Network::from_number(first + n);
        if platform.serve(network.platform()).await.is_ok() {
            return Ok(network);
        }
    }
    Err("all loopback networks are in use".into())
}

impl Fleet {
    /// Starts the stand-ins for the platform, links and targets, and the entry VMs if requested.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or a process can't be started.
    pub async fn start(
        deployment: Deployment,
        entry_vms: bool,
        capacity_factor: f64,
    ) -> Result<Self, Box<dyn Error>> {
        let platform = PlatformStandIn::new();
        let network = free_network(&platform).await?;
        let name = format!("ragwortswitch-{}-{}", deployment.name(), network.run());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let mut fleet = Self {
            deployment,
            directory,
            entry_vms: BTreeMap::new(),
            capacity_factor,
            relays: Vec::new(),
            stopping: BTreeSet::new(),
            links: BTreeMap::new(),
            network,
            platform,
            snapshot: deployment.snapshot(network)?,
            targets: BTreeMap::new(),
            unclean_stops: 0,
        };
        fleet.populate_platform();
        fleet.start_links().await?;
        fleet.start_targets().await?;
        if entry_vms {
            for (vm, _) in deployment.entry_vms() {
                fleet.start_entry_vm(vm)?;
            }
        }
        Ok(fleet)
    }

    /// Writes the settings documents and the list of VMs to the platform.
    fn populate_platform(&self) {
        for (path, text) in self.deployment.documents(self.network) {
            self.platform.put(&path.to_platform(), &text, "operator");
        }
        let entry_vms = self.deployment.entry_vms().into_iter().map(|(vm, zone)| PlatformVmBody {
            address: self.network.entry(vm, Network::PEERS_PORT),
            kind: "entry".into(),
            leaving: false,
            name: format!("entry-{vm}"),
            zone: zone.to_string(),
        });
        let services = self.snapshot.services();
        let targets = services.flat_map(|s| &s.settings.targets).map(|(name, t)| PlatformVmBody {
            address: t.address,
            kind: "target".into(),
            leaving: false,
            name: name.to_string(),
            zone: t.zone.to_string(),
        });
        self.platform.set_vms(entry_vms.chain(targets).collect());
    }

    /// Starts relays from each availability zone to the entry VMs in other zones, and to the
    /// platform, which is in the first zone.
    async fn start_links(&mut self) -> Result<(), Box<dyn Error>> {
        let zones: Vec<_> = self.deployment.zones().iter().map(|z| (*z).into()).collect();
        for from in &zones {
            let number = self.deployment.zone_number(from);
            for (vm, to) in self.deployment.entry_vms() {
                if to == *from {
                    continue;
                }
                let (link, forward) = self.link_between(from, &to);
                for port in [Network::HANDOFF_PORT, Network::PEERS_PORT] {
                    let listen = self.network.link(number, vm, port);
                    let switch = link.relay(listen, self.network.entry(vm, port), forward).await?;
                    let zones = [from.clone(), to.clone()];
                    self.relays.push(Relay { zones, platform: false, switch });
                }
            }
            let (link, forward) = self.link_between(from, &zones[0]);
            let listen = self.network.platform_link(number);
            let switch = link.relay(listen, self.network.platform(), forward).await?;
            let zones = [from.clone(), zones[0].clone()];
            self.relays.push(Relay { zones, platform: true, switch });
        }
        Ok(())
    }

    /// Returns the link between two zones, and whether `from` to `to` is its forward direction.
    ///
    /// Each call for two zones of one region creates a link. The zones of two regions share one.
    fn link_between(
        &mut self,
        from: &AvailabilityZoneName,
        to: &AvailabilityZoneName,
    ) -> (Arc<LinkStandIn>, bool) {
        let region = |zone| self.snapshot.region_of(zone).cloned().unwrap_or_else(|| "?".into());
        let (a, b) = (region(from), region(to));
        let delay = Duration::from_secs_f64(self.snapshot.delay_ms(from, to).unwrap_or(0.0) / 1e3);
        if a == b {
            return (LinkStandIn::new(delay, LOCAL_CAP_BYTES), true);
        }
        let fleet = self.snapshot.fleet();
        let settings = fleet.and_then(|f| f.links.iter().find(|link| link.connects(&a, &b)));
        let cap = settings.map_or(LOCAL_CAP_BYTES, steer::LinkSettings::cap_bytes);
        let cap = (cap as f64 * self.capacity_factor) as u64;
        let forward = a < b;
        let key = if forward { (a, b) } else { (b, a) };
        let link = self.links.entry(key).or_insert_with(|| LinkStandIn::new(delay, cap));
        (Arc::clone(link), forward)
    }

    async fn start_targets(&mut self) -> Result<(), Box<dyn Error>> {
        for service in self.snapshot.services() {
            for (name, settings) in &service.settings.targets {
                let target = TargetStandIn::start(settings.address, settings.slots).await?;
                self.targets.insert(name.clone(), target);
            }
        }
        Ok(())
    }

    /// Starts an entry VM as a child process.
    ///
    /// # Errors
    ///
    /// If its files can't be written or the process can't be started.
    pub fn start_entry_vm(&mut self, vm: u8) -> Result<(), Box<dyn Error>> {
        let vms = self.deployment.entry_vms();
        let (_, zone) = vms.iter().find(|(n, _)| *n == vm).ok_or("no such entry VM")?;
        let zone_number = self.deployment.zone_number(zone);
        let address = |port| self.network.entry(vm, port).to_string();
        let settings = json!({
            "callers": address(Network::CALLERS_PORT),
            "fleet": self.deployment.name(),
            "handoff": address(Network::HANDOFF_PORT),
            "name": format!("entry-{vm}"),
            "operators": address(Network::OPERATORS_PORT),
            "peers": address(Network::PEERS_PORT),
            "platform": self.network.platform_link(zone_number).to_string(),
            "region": self.snapshot.region_of(zone),
            "traces": {
                "output": { "file": self.directory.join("traces.jsonl") },
                "ratio": 0.0,
            },
            "zone": zone,
        });
        let path = self.directory.join(format!("entry-{vm}.jsonc"));
        fs::write(&path, serde_json::to_string_pretty(&settings)?)?;
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.directory.join(format!("entry-{vm}.log")))?;
        let child = Command::new(env::current_exe()?)
            .arg("entry")
            .arg(&path)
            .env(ZONE_VARIABLE, zone_number.to_string())
            .env(DEPLOYMENT_VARIABLE, self.deployment.name())
            .stderr(log)
            .kill_on_drop(true)
            .process_group(0)
            .spawn()?;
        self.entry_vms.insert(vm, child);
        Ok(())
    }
}

impl Fleet {
    /// Sends a signal to the process of an entry VM.
    ///
    /// # Errors
    ///
    /// If the VM isn't running or `kill` can't be started.
    pub async fn signal(&self, vm: u8, signal: &str) -> Result<(), Box<dyn Error>> {
        let child = self.entry_vms.get(&vm).ok_or("no such entry VM")?;
        let id = child.id().ok_or("the entry VM has ended")?;
        Command::new("kill").args(["-s", signal, &id.to_string()]).status().await?;
        Ok(())
    }

    /// Asks an entry VM to shut down, by SIGTERM.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::signal`].
    pub async fn stop_entry_vm(&mut self, vm: u8) -> Result<(), Box<dyn Error>> {
        self.signal(vm, "TERM").await?;
        self.stopping.insert(vm);
        Ok(())
    }

    /// Waits for the exit of an entry VM that was asked to stop, and counts the stop as unclean if
    /// it failed, was killed or timed out. Does nothing for other VMs.
    pub async fn finish_stop(&mut self, vm: u8) {
        if !self.stopping.remove(&vm) {
            return;
        }
        let Some(child) = self.entry_vms.get_mut(&vm) else { return };
        let status = timeout(STOP_TIMEOUT, child.wait()).await;
        let is_clean = matches!(status, Ok(Ok(status)) if status.success());
        self.unclean_stops += u64::from(!is_clean);
    }

    /// Waits for the exit of every entry VM that was asked to stop.
    pub async fn finish_stops(&mut self) {
        for vm in self.stopping.clone() {
            self.finish_stop(vm).await;
        }
    }

    /// Cuts or restores the relays between a region, given by index, and the rest of the fleet,
    /// including the platform.
    pub fn cut_region(&self, region: usize, cut: bool) {
        let name = self.regions().get(region).map(|r| RegionName::from(r.as_str()));
        self.cut_around(cut, |zone| self.snapshot.region_of(zone) == name.as_ref());
    }

    /// Cuts or restores the relays between an availability zone and the rest of the fleet,
    /// including the platform.
    pub fn cut_zone(&self, zone: u8, cut: bool) {
        self.cut_around(cut, |name| self.deployment.zone_number(name) == zone);
    }

    /// Cuts or restores the relays to the platform.
    pub fn cut_platform(&self, cut: bool) {
        for relay in self.relays.iter().filter(|relay| relay.platform) {
            relay.switch.set_cut(cut);
        }
    }

    /// Cuts or restores the relays that cross the border of a set of zones.
    fn cut_around(&self, cut: bool, inside: impl Fn(&AvailabilityZoneName) -> bool) {
        for relay in &self.relays {
            let [a, b] = &relay.zones;
            if inside(a) != inside(b) {
                relay.switch.set_cut(cut);
            }
        }
    }

    /// Names of the regions.
    pub fn regions(&self) -> Vec<String> {
        let fleet = self.snapshot.fleet();
        fleet.into_iter().flat_map(|f| f.regions.keys()).map(ToString::to_string).collect()
    }

    /// Total slots of the targets of a region, or of all regions.
    pub fn slots(&self, region: Option<&RegionName>) -> u32 {
        let targets = self.snapshot.services().flat_map(|s| s.settings.targets.values());
        targets
            .filter(|t| region.is_none() || self.snapshot.region_of(&t.zone) == region)
            .map(|t| t.slots)
            .sum()
    }
}
