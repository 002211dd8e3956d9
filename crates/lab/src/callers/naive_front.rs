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

/// Time between two load reports of a target.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Place {
    address: SocketAddr,
    name: TargetName,
    region: usize,
    slots: u32,
    zone: AvailabilityZoneName,
}

#[derive(Debug, Default)]
struct State {
    last: BTreeMap<(ServiceName, usize), usize>,
    loads: BTreeMap<TargetName, LoadReport>,
}

/// Sends requests straight to targets of the caller's home region.
#[derive(Debug)]
pub struct NaiveFront {
    homes: Vec<AvailabilityZoneName>,
    places: BTreeMap<ServiceName, Vec<Place>>,
    snapshot: Snapshot,
    state: Mutex<State>,
    targets: HttpTargets,
}

impl NaiveFront {
    /// Makes the front and starts reading load reports, one task a target.
    pub fn start(
        deployment: Deployment,
        snapshot: &Snapshot,
        tasks: &mut JoinSet<()>,
    ) -> Arc<Self> {
        let regions: Vec<_> = snapshot.fleet().into_iter().flat_map(|f| f.regions.keys()).collect();
        let number = |zone| {
            let region = snapshot.region_of(zone);
            regions.iter().position(|r| Some(*r) == region).unwrap_or_default()
        };
        let mut places: BTreeMap<ServiceName, Vec<Place>> = BTreeMap::new();
        for service in snapshot.services() {
            let targets = service.settings.targets.iter().map(|(name, t)| Place {
                address: t.address,
                name: name.clone(),
                region: number(&t.zone),
                slots: t.slots,
                zone: t.zone.clone(),
            });
            places.insert(service.name.clone(), targets.collect());
        }
        let home = |region: &&steer::RegionName| {
            let zones = deployment.zones().iter().map(|z| AvailabilityZoneName::from(*z));
            zones.into_iter().find(|z| snapshot.region_of(z) == Some(*region))
        };
        let front = Arc::new(Self {
            homes: regions.iter().filter_map(home).collect(),
            places,
            snapshot: snapshot.clone(),
            state: Mutex::default(),
            targets: HttpTargets::new(ConnectionPool::new()),
        });
        for place in front.places.values().flatten() {
            let (front, name, address) = (Arc::clone(&front), place.name.clone(), place.address);
            tasks.spawn(async move { front.read_reports(name, address).await });
        }
        front
    }

    async fn read_reports(&self, name: TargetName, address: SocketAddr) {
        let mut ticks = interval(REPORT_PERIOD);
        loop {
            ticks.tick().await;
            if let Ok(report) = self.targets.read_load(address).await {
                self.lock().loads.insert(name.clone(), report);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the front's lock panics")
    }

    /// Sends a request to the next target.
    ///
    /// # Errors
    ///
    /// As the target's adapter says.
    pub async fn send(
        &self,
        service: &ServiceName,
        region: usize,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let Some(place) = self.choose(service, region) else {
            return Err(SendError::not_sent("no target", request));
        };
        let home = &self.homes[region];
        let ms = self.snapshot.delay_ms(home, &place.zone).unwrap_or_default();
        let delay = Duration::from_secs_f64(ms / 1e3);
        sleep(delay).await;
        let response = self.targets.send(place.address, request).await;
        sleep(delay).await;
        response
    }

    fn choose(&self, service: &ServiceName, region: usize) -> Option<&Place> {
        let all = self.places.get(service)?;
        let mut state = self.lock();
        let State { last, loads } = &mut *state;
        let free =
            |p: &&Place| loads.get(&p.name).is_none_or(|load| !load.leaving && load.busy < p.slots);
        let home: Vec<&Place> = all.iter().filter(|p| p.region == region).collect();
        let open: Vec<&Place> = home.iter().copied().filter(free).collect();
        let list = if open.is_empty() { home } else { open };
        let turn = last.entry((service.clone(), region)).or_default();
        *turn += 1;
        list.get(*turn % list.len().max(1)).copied()
    }
}
