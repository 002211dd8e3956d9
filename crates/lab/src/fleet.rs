//! A whole fleet on loopback: platform, links, targets and entry VMs.

use crate::{
    Deployment, LinkStandIn, Network, PlatformStandIn, TargetStandIn,
    linked_peers::{DEPLOYMENT_VARIABLE, ZONE_VARIABLE},
};
use adapters::PlatformVmBody;
use serde_json::json;
use std::{collections::BTreeMap, env, error::Error, fs, path::PathBuf, sync::Arc, time::Duration};
use steer::{RegionName, Snapshot, TargetName};
use tokio::process::{Child, Command};

/// Cap of links inside a region in bytes a second.
const LOCAL_CAP: u64 = 10_000_000_000 / 8;

/// A running fleet. Its entry VMs are processes, which end with it.
#[derive(Debug)]
pub struct Fleet {
    /// Directory of this run: process settings, logs and traces.
    pub directory: PathBuf,
    /// Entry VMs by number.
    pub entry_vms: BTreeMap<u8, Child>,
    /// Links by the pair of regions, in alphabetical order.
    pub links: BTreeMap<(RegionName, RegionName), Arc<LinkStandIn>>,
    /// Addresses of this run.
    pub network: Network,
    /// The platform.
    pub platform: Arc<PlatformStandIn>,
    /// The settings that it started with.
    pub snapshot: Snapshot,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Arc<TargetStandIn>>,
    deployment: Deployment,
}

impl Fleet {
    /// Starts everything and waits until each entry VM answers.
    ///
    /// # Errors
    ///
    /// Where an address can't be bound or a process can't be started.
    pub async fn start(deployment: Deployment) -> Result<Self, Box<dyn Error>> {
        let network = Network::of_process();
        let name = format!("ragwortswitch-{}-{}", deployment.name(), std::process::id());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let mut fleet = Self {
            deployment,
            directory,
            entry_vms: BTreeMap::new(),
            links: BTreeMap::new(),
            network,
            platform: PlatformStandIn::new(),
            snapshot: deployment.snapshot(network)?,
            targets: BTreeMap::new(),
        };
        fleet.start_platform().await?;
        fleet.start_links().await?;
        fleet.start_targets().await?;
        for (vm, _) in deployment.entry_vms() {
            fleet.start_entry_vm(vm)?;
        }
        Ok(fleet)
    }

    async fn start_platform(&mut self) -> Result<(), Box<dyn Error>> {
        self.platform.serve(self.network.platform()).await?;
        for (path, text) in self.deployment.documents(self.network) {
            self.platform.put(&path.to_platform(), &text, "operator");
        }
        let entry_vms = self.deployment.entry_vms().into_iter().map(|(vm, zone)| PlatformVmBody {
            address: self.network.entry(vm, Network::PEERS),
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
        Ok(())
    }

    /// Starts a relay from each availability zone to each entry VM of another, and to the
    /// platform, which stands in the first zone.
    async fn start_links(&mut self) -> Result<(), Box<dyn Error>> {
        let zones: Vec<_> = self.deployment.zones().iter().map(|z| (*z).into()).collect();
        for from in &zones {
            let number = self.deployment.zone_number(from);
            for (vm, to) in self.deployment.entry_vms() {
                if to == *from {
                    continue;
                }
                let (link, forward) = self.link(from, &to);
                for port in [Network::HANDOFF, Network::PEERS] {
                    let near = self.network.link(number, vm, port);
                    link.relay(near, self.network.entry(vm, port), forward).await?;
                }
            }
            let (link, forward) = self.link(from, &zones[0]);
            let near = self.network.platform_link(number);
            link.relay(near, self.network.platform(), forward).await?;
        }
        Ok(())
    }

    /// The link between two zones, and whether it goes forward from the first to the second.
    fn link(
        &mut self,
        from: &steer::AvailabilityZoneName,
        to: &steer::AvailabilityZoneName,
    ) -> (Arc<LinkStandIn>, bool) {
        let region = |zone| self.snapshot.region_of(zone).cloned().unwrap_or_else(|| "?".into());
        let (a, b) = (region(from), region(to));
        let delay = Duration::from_secs_f64(self.snapshot.delay_ms(from, to).unwrap_or(0.0) / 1e3);
        if a == b {
            return (LinkStandIn::new(delay, LOCAL_CAP), true);
        }
        let fleet = self.snapshot.fleet();
        let settings = fleet.and_then(|f| f.links.iter().find(|link| link.joins(&a, &b)));
        let cap = settings.map_or(LOCAL_CAP, steer::LinkSettings::cap_bytes);
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

    /// Starts an entry VM as a process.
    ///
    /// # Errors
    ///
    /// Where its files can't be written or the process can't be started.
    pub fn start_entry_vm(&mut self, vm: u8) -> Result<(), Box<dyn Error>> {
        let vms = self.deployment.entry_vms();
        let (_, zone) = vms.iter().find(|(n, _)| *n == vm).ok_or("no such entry VM")?;
        let zone_number = self.deployment.zone_number(zone);
        let address = |port| self.network.entry(vm, port).to_string();
        let settings = json!({
            "callers": address(Network::CALLERS),
            "fleet": self.deployment.name(),
            "handoff": address(Network::HANDOFF),
            "name": format!("entry-{vm}"),
            "operators": address(Network::OPERATORS),
            "peers": address(Network::PEERS),
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
