//! A fleet of many idle entry VMs as processes, to see what control costs each of them.

use crate::{
    Network, PlatformStandIn,
    bench::{memory_bytes, processor_seconds},
    fleet::free_network,
};
use adapters::{ConnectionPool, PlatformVmBody, StatusView};
use http::{Request, header::HOST};
use http_body_util::BodyExt;
use serde_json::json;
use std::{env, error::Error, fs, sync::Arc, time::Duration};
use steer::empty_body;
use tokio::{
    process::{Child, Command},
    time::{Instant, sleep},
};

/// Availability zones of a region.
const REGION_ZONES: u8 = 3;
/// Longest time until every VM knows every other.
const JOIN_WAIT: Duration = Duration::from_secs(60);
/// Time from then on before the measurement.
const SETTLE: Duration = Duration::from_secs(5);
/// Time that is measured.
const WINDOW: Duration = Duration::from_secs(15);
/// VMs that are read; the others are like them.
const READ: usize = 8;

/// What control costs an entry VM, averaged over several.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ControlCost {
    /// Memory in bytes.
    pub(super) memory: f64,
    /// Part of a core.
    pub(super) processor: f64,
    /// Bytes received a second.
    pub(super) received: f64,
    /// Bytes sent a second.
    pub(super) sent: f64,
}

struct ScaleFleet {
    network: Network,
    pool: Arc<ConnectionPool>,
    vms: Vec<Child>,
}

/// Measures fleets of some availability zones with some entry VMs each.
pub(super) async fn measure(zones: u8, per_zone: u8) -> Result<ControlCost, Box<dyn Error>> {
    let fleet = ScaleFleet::start(zones, per_zone).await?;
    fleet.wait_until_joined(usize::from(zones) * usize::from(per_zone)).await?;
    sleep(SETTLE).await;
    let before = fleet.read().await?;
    let start = Instant::now();
    sleep(WINDOW).await;
    let after = fleet.read().await?;
    let seconds = start.elapsed().as_secs_f64();
    let count = before.len() as f64;
    let mut cost = ControlCost::default();
    for (before, after) in before.iter().zip(&after) {
        cost.memory += after.memory / count;
        cost.processor += (after.processor - before.processor) / seconds / count;
        cost.received += (after.received - before.received) / seconds / count;
        cost.sent += (after.sent - before.sent) / seconds / count;
    }
    Ok(cost)
}

impl ScaleFleet {
    async fn start(zones: u8, per_zone: u8) -> Result<Self, Box<dyn Error>> {
        let platform = PlatformStandIn::new();
        let network = free_network(&platform).await?;
        let directory = env::temp_dir().join(format!("ragwortswitch-scale-{}", network.run()));
        fs::create_dir_all(&directory)?;
        platform.put("settings/fleet", &fleet_text(zones), "operator");
        let numbered = (0..zones).flat_map(|zone| (0..per_zone).map(move |_| zone));
        let places: Vec<(u8, u8)> = (1..).zip(numbered).collect();
        let listed = places.iter().map(|(vm, zone)| PlatformVmBody {
            address: network.entry(*vm, Network::PEERS),
            kind: "entry".into(),
            leaving: false,
            name: format!("entry-{vm}"),
            zone: format!("z{zone}"),
        });
        platform.set_vms(listed.collect());
        let mut vms = Vec::new();
        for (vm, zone) in places {
            let address = |port| network.entry(vm, port).to_string();
            let settings = json!({
                "callers": address(Network::CALLERS),
                "fleet": "scale",
                "handoff": address(Network::HANDOFF),
                "name": format!("entry-{vm}"),
                "operators": address(Network::OPERATORS),
                "peers": address(Network::PEERS),
                "platform": network.platform().to_string(),
                "region": format!("r{}", zone / REGION_ZONES),
                "zone": format!("z{zone}"),
            });
            let path = directory.join(format!("entry-{vm}.jsonc"));
            fs::write(&path, settings.to_string())?;
            let log = fs::File::create(directory.join(format!("entry-{vm}.log")))?;
            let child = Command::new(env::current_exe()?)
                .args(["entry".as_ref(), path.as_os_str()])
                .stderr(log)
                .kill_on_drop(true)
                .process_group(0)
                .spawn()?;
            vms.push(child);
        }
        Ok(Self { network, pool: ConnectionPool::new(), vms })
    }

    /// Waits until the first and the last VM know all VMs.
    async fn wait_until_joined(&self, count: usize) -> Result<(), Box<dyn Error>> {
        let until = Instant::now() + JOIN_WAIT;
        for vm in [1, count as u8] {
            loop {
                let known = self.status(vm).await.map_or(0, |s| s.vms.len());
                if known >= count {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("entry-{vm} knows {known} of {count} VMs").into());
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    async fn status(&self, vm: u8) -> Result<StatusView, Box<dyn Error>> {
        let address = self.network.entry(vm, Network::OPERATORS);
        let request =
            Request::get("/status").header(HOST, address.to_string()).body(empty_body())?;
        let response = self.pool.send(address, request).await?;
        let bytes = response.into_body().collect().await?.to_bytes();
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Reads the counters of some VMs, spread over the fleet.
    async fn read(&self) -> Result<Vec<ControlCost>, Box<dyn Error>> {
        let step = self.vms.len().div_ceil(READ);
        let mut costs = Vec::new();
        for (index, child) in self.vms.iter().enumerate().step_by(step) {
            let status = self.status(index as u8 + 1).await?;
            let process = child.id().ok_or("an entry VM has ended")?;
            let sum = |pick: fn(&adapters::ControlView) -> u64| {
                status.control.values().map(|part| pick(part) as f64).sum()
            };
            costs.push(ControlCost {
                memory: memory_bytes(process, "VmRSS")?,
                processor: processor_seconds(process)?,
                received: sum(|part| part.received),
                sent: sum(|part| part.sent),
            });
        }
        Ok(costs)
    }
}

fn fleet_text(zones: u8) -> String {
    let regions: Vec<String> = (0..zones)
        .step_by(usize::from(REGION_ZONES))
        .map(|first| {
            let names: Vec<String> = (first..zones.min(first + REGION_ZONES))
                .map(|zone| format!("\"z{zone}\""))
                .collect();
            let region = first / REGION_ZONES;
            format!(r#""r{region}": {{ "delay_ms": 5.0, "zones": [{}] }}"#, names.join(", "))
        })
        .collect();
    format!(r#"{{ "fleet": "scale", "regions": {{ {} }} }}"#, regions.join(", "))
}
