//! A fleet of idle entry VM processes, used to measure the cost of control traffic per VM.

use crate::{
    Network, PlatformStandIn,
    bench::{cpu_time_seconds, memory_bytes},
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

/// Availability zones in a region.
const ZONES_PER_REGION: u8 = 3;
/// Timeout for every VM to discover all others.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between the discovery of all VMs and the start of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(15);
/// Maximum number of VMs that are sampled, because all VMs of the fleet do the same work.
const SAMPLED_VMS: usize = 8;

/// Control cost of an entry VM, averaged over the sampled VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ControlCost {
    /// Memory in bytes.
    pub(super) memory: f64,
    /// CPU time as a fraction of a core.
    pub(super) processor: f64,
    /// Control bytes received per second.
    pub(super) received: f64,
    /// Control bytes sent per second.
    pub(super) sent: f64,
}

struct ScaleFleet {
    network: Network,
    pool: Arc<ConnectionPool>,
    vms: Vec<Child>,
}

/// Starts a fleet of `zones` availability zones with `per_zone` entry VMs each and measures the
/// control cost.
pub(super) async fn measure_control_cost(
    zones: u8,
    per_zone: u8,
) -> Result<ControlCost, Box<dyn Error>> {
    let fleet = ScaleFleet::start(zones, per_zone).await?;
    fleet.wait_until_joined(usize::from(zones) * usize::from(per_zone)).await?;
    sleep(SETTLE_TIME).await;
    let before = fleet.read_costs().await?;
    let start = Instant::now();
    sleep(MEASURE_TIME).await;
    let after = fleet.read_costs().await?;
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
        platform.put("settings/fleet", &fleet_document(zones), "operator");
        let numbered = (0..zones).flat_map(|zone| (0..per_zone).map(move |_| zone));
        let places: Vec<(u8, u8)> = (1..).zip(numbered).collect();
        let listed = places.iter().map(|(vm, zone)| PlatformVmBody {
            address: network.entry(*vm, Network::PEERS_PORT),
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
                "callers": address(Network::CALLERS_PORT),
                "fleet": "scale",
                "handoff": address(Network::HANDOFF_PORT),
                "name": format!("entry-{vm}"),
                "operators": address(Network::OPERATORS_PORT),
                "peers": address(Network::PEERS_PORT),
                "platform": network.platform().to_string(),
                "region": format!("r{}", zone / ZONES_PER_REGION),
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

    /// Waits until the first and the last VM have discovered all VMs.
    async fn wait_until_joined(&self, count: usize) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + JOIN_TIMEOUT;
        for vm in [1, count as u8] {
            loop {
                let known = self.status(vm).await.map_or(0, |s| s.vms.len());
                if known >= count {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("entry-{vm} has discovered {known} of {count} VMs").into());
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    async fn status(&self, vm: u8) -> Result<StatusView, Box<dyn Error>> {
        let address = self.network.entry(vm, Network::OPERATORS_PORT);
        let request =
            Request::get("/status").header(HOST, address.to_string()).body(empty_body())?;
        let response = self.pool.send(address, request).await?;
        let bytes = response.into_body().collect().await?.to_bytes();
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Reads the counters of a sample of VMs that is spread evenly over the fleet.
    async fn read_costs(&self) -> Result<Vec<ControlCost>, Box<dyn Error>> {
        let step = self.vms.len().div_ceil(SAMPLED_VMS);
        let mut costs = Vec::new();
        for (index, child) in self.vms.iter().enumerate().step_by(step) {
            let status = self.status(index as u8 + 1).await?;
            let process = child.id().ok_or("an entry VM has exited")?;
            let sum = |pick: fn(&adapters::ControlView) -> u64| {
                status.control.values().map(|part| pick(part) as f64).sum()
            };
            costs.push(ControlCost {
                memory: memory_bytes(process, "VmRSS")?,
                processor: cpu_time_seconds(process)?,
                received: sum(|part| part.received),
                sent: sum(|part| part.sent),
            });
        }
        Ok(costs)
    }
}

fn fleet_document(zones: u8) -> String {
    let regions: Vec<String> = (0..zones)
        .step_by(usize::from(ZONES_PER_REGION))
        .map(|first| {
            let names: Vec<String> = (first..zones.min(first + ZONES_PER_REGION))
                .map(|zone| format!("\"z{zone}\""))
                .collect();
            let region = first / ZONES_PER_REGION;
            format!(r#""r{region}": {{ "delay_ms": 5.0, "zones": [{}] }}"#, names.join(", "))
        })
        .collect();
    format!(r#"{{ "fleet": "scale", "regions": {{ {} }} }}"#, regions.join(", "))
}
