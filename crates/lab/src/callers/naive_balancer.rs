//! The naive policy: round robin over the targets whose last load report shows a free slot.

use crate::Deployment;
use adapters::{ConnectionPool, HttpTargets};
use http::{Request, Response};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{
    AvailabilityZoneName, Body, LoadReport, SendError, ServiceName, Snapshot, TargetName, Targets,
};
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};

/// Interval between two load reports of a target.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct NaiveTarget {
    address: SocketAddr,
    name: TargetName,
    region: usize,
    slots: u32,
    zone: AvailabilityZoneName,
}

#[derive(Debug, Default)]
struct BalancerState {
    /// Round-robin counters by service and region index.
    turns: BTreeMap<(ServiceName, usize), usize>,
    loads: BTreeMap<TargetName, LoadReport>,
}

/// Load balancer that sends requests directly to targets in the caller's home region, without entry
/// VMs.
#[derive(Debug)]
pub struct NaiveBalancer {
    home_zones: Vec<AvailabilityZoneName>,
    targets: BTreeMap<ServiceName, Vec<NaiveTarget>>,
    snapshot: Snapshot,
    state: Mutex<BalancerState>,
    client: HttpTargets,
}

impl NaiveBalancer {
    /// Creates the load balancer and spawns one task per target that polls its load reports.
    pub fn start(
        deployment: Deployment,
        snapshot: &Snapshot,
        tasks: &mut JoinSet<()>,
    ) -> Arc<Self> {
        let regions: Vec<_> = snapshot.fleet().into_iter().flat_map(|f| f.regions.keys()).collect();
        let region_index = |zone| {
            let region = snapshot.region_of(zone);
            regions.iter().position(|r| Some(*r) == region).unwrap_or_default()
        };
        let mut targets: BTreeMap<ServiceName, Vec<NaiveTarget>> = BTreeMap::new();
        for service in snapshot.services() {
            let of_service = service.settings.targets.iter().map(|(name, t)| NaiveTarget {
                address: t.address,
                name: name.clone(),
                region: region_index(&t.zone),
                slots: t.slots,
                zone: t.zone.clone(),
            });
            targets.insert(service.name.clone(), of_service.collect());
        }
        let home = |region: &&steer::RegionName| {
            let zones = deployment.zones().iter().map(|z| AvailabilityZoneName::from(*z));
            zones.into_iter().find(|z| snapshot.region_of(z) == Some(*region))
        };
        let balancer = Arc::new(Self {
            home_zones: regions.iter().filter_map(home).collect(),
            targets,
            snapshot: snapshot.clone(),
            state: Mutex::default(),
            client: HttpTargets::new(ConnectionPool::new()),
        });
        for target in balancer.targets.values().flatten() {
            let (balancer, name, address) =
                (Arc::clone(&balancer), target.name.clone(), target.address);
            tasks.spawn(async move { balancer.poll_load(name, address).await });
        }
        balancer
    }

    async fn poll_load(&self, name: TargetName, address: SocketAddr) {
        let mut ticks = interval(REPORT_INTERVAL);
        loop {
            ticks.tick().await;
            if let Ok(report) = self.client.read_load(address).await {
                self.lock().loads.insert(name.clone(), report);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BalancerState> {
        self.state.lock().expect("no holder of the balancer's lock panics")
    }

    /// Sends a request to the next target in the caller's home region.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Targets::send`], and [`SendError::NotSent`] if there is no target.
    pub async fn send(
        &self,
        service: &ServiceName,
        region: usize,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let Some(target) = self.choose(service, region) else {
            return Err(SendError::not_sent("no target", request));
        };
        let home = &self.home_zones[region];
        let ms = self.snapshot.delay_ms(home, &target.zone).unwrap_or_default();
        let delay = Duration::from_secs_f64(ms / 1e3);
        sleep(delay).await;
        let response = self.client.send(target.address, request).await;
        sleep(delay).await;
        response
    }

    fn choose(&self, service: &ServiceName, region: usize) -> Option<&NaiveTarget> {
        let all = self.targets.get(service)?;
        let mut state = self.lock();
        let BalancerState { turns, loads } = &mut *state;
        let has_free_slot = |target: &&NaiveTarget| {
            loads.get(&target.name).is_none_or(|load| !load.leaving && load.busy < target.slots)
        };
        let home: Vec<&NaiveTarget> = all.iter().filter(|target| target.region == region).collect();
        let available: Vec<&NaiveTarget> = home.iter().copied().filter(has_free_slot).collect();
        let list = if available.is_empty() { home } else { available };
        let turn = turns.entry((service.clone(), region)).or_default();
        *turn += 1;
        list.get(*turn % list.len().max(1)).copied()
    }
}
