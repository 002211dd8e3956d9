//! A deployment with traffic, for a first look.

use crate::{
    Arrival, Arrivals, Deployment, Fleet, Network, Outcome, Report, TargetStandIn, Workload,
    workloads,
};
use adapters::{ConnectionPool, LOOKUP_PATH};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::BodyExt;
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    error::Error,
    io::{IsTerminal, Write},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use steer::{Body, RegionName, empty_body, full_body};
use tokio::{
    signal::ctrl_c,
    time::{Instant, interval, sleep, sleep_until, timeout},
};

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Name of the deployment.
    pub deployment: String,
    /// Time with traffic.
    pub seconds: u64,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self { deployment: "vitrine".into(), seconds: 20, seed: 1 }
    }
}

/// Longest time to start a fleet.
const START_WAIT: Duration = Duration::from_secs(15);

/// Runs a deployment with traffic, then prints a table; Ctrl-C ends it at once.
///
/// # Errors
///
/// Where the deployment isn't known or can't be started.
pub async fn run_demo(options: &DemoOptions) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::by_name(&options.deployment)
        .ok_or_else(|| format!("no deployment {}", options.deployment))?;
    let fleet = Fleet::start(deployment).await?;
    println!("started {} entry VMs; logs in {}", fleet.entry_vms.len(), fleet.directory.display());
    let callers = Arc::new(Callers::new(deployment, &fleet));
    callers.wait_until_served().await?;
    tokio::select! {
        () = send_traffic(&callers, options) => {}
        _ = ctrl_c() => println!("\nstopped"),
    }
    println!("{}", callers.report().to_table());
    println!("traces: {}", fleet.directory.join("traces.jsonl").display());
    println!("platform calls: {:?}", fleet.platform.calls());
    Ok(())
}

/// The callers of all regions: each region asks for entry VMs and caches the answer.
#[derive(Debug)]
struct Callers {
    client_delay: Duration,
    homes: Vec<(RegionName, SocketAddr)>,
    ids: AtomicU64,
    lists: Mutex<BTreeMap<usize, (Instant, Vec<SocketAddr>)>>,
    pool: Arc<ConnectionPool>,
    report: Mutex<Report>,
    workloads: &'static [Workload],
}

/// An answer to a look-up.
#[derive(Debug, Deserialize)]
struct LookupBody {
    #[serde(rename = "max_age_s")]
    max_age: u64,
    vms: Vec<LookupVmBody>,
}

#[derive(Debug, Deserialize)]
struct LookupVmBody {
    address: SocketAddr,
}

impl Callers {
    fn new(deployment: Deployment, fleet: &Fleet) -> Self {
        let vms = deployment.entry_vms();
        let first_in = |region: &RegionName| {
            vms.iter().find(|(_, zone)| fleet.snapshot.region_of(zone) == Some(region))
        };
        let regions = fleet.snapshot.fleet().into_iter().flat_map(|f| f.regions.keys());
        let homes = regions
            .filter_map(|region| {
                let (vm, _) = first_in(region)?;
                Some((region.clone(), fleet.network.entry(*vm, Network::CALLERS)))
            })
            .collect();
        Self {
            client_delay: Duration::from_secs_f64(deployment.client_delay() / 1e3),
            homes,
            ids: AtomicU64::new(0),
            lists: Mutex::default(),
            pool: ConnectionPool::new(),
            report: Mutex::default(),
            workloads: workloads(deployment.name()),
        }
    }

    fn report(&self) -> std::sync::MutexGuard<'_, Report> {
        self.report.lock().expect("no holder of the report panics")
    }

    /// Waits until a look-up in each region names entry VMs.
    async fn wait_until_served(&self) -> Result<(), Box<dyn Error>> {
        let all = async {
            for region in 0..self.homes.len() {
                while self.look_up(region).await.is_none_or(|list| list.len() < 8) {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        };
        timeout(START_WAIT, all).await.map_err(|_| "the entry VMs don't serve".into())
    }

    /// Asks for the entry VMs to use, or takes the cached list.
    async fn look_up(&self, region: usize) -> Option<Vec<SocketAddr>> {
        let now = Instant::now();
        {
            let lists = self.lists.lock().expect("no holder of the lists panics");
            if let Some((until, list)) = lists.get(&region)
                && *until > now
            {
                return Some(list.clone());
            }
        }
        let (_, any) = &self.homes[region];
        let block = format!("10.{}.0.0/16", region + 1);
        let request = Request::get(format!("{LOOKUP_PATH}?block={block}"))
            .header(HOST, any.to_string())
            .body(empty_body())
            .ok()?;
        let response = self.pool.send(*any, request).await.ok()?;
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        let answer: LookupBody = serde_json::from_slice(&bytes).ok()?;
        let list: Vec<SocketAddr> = answer.vms.iter().map(|vm| vm.address).collect();
        if list.len() >= 8 {
            let until = now + Duration::from_secs(answer.max_age);
            let mut lists = self.lists.lock().expect("no holder of the lists panics");
            lists.insert(region, (until, list.clone()));
        }
        Some(list)
    }

    /// Sends one request and notes how it ended.
    async fn send(&self, arrival: Arrival) {
        let workload = &self.workloads[arrival.workload];
        let start = Instant::now();
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        sleep(self.client_delay).await;
        let outcome = self.exchange(arrival, workload, id).await.unwrap_or(Outcome::Failed);
        sleep(self.client_delay).await;
        let service = workload.host.split('.').next().unwrap_or_default();
        let class = format!("{service}/{}", workload.class);
        let region = self.homes[arrival.region].0.as_str();
        self.report().note(region, &class, outcome, start.elapsed());
    }

    async fn exchange(&self, arrival: Arrival, workload: &Workload, id: u64) -> Option<Outcome> {
        let list = self.look_up(arrival.region).await?;
        let vm = *list.get(id as usize % list.len().clamp(1, 2))?;
        let body = match workload.body {
            0 => empty_body(),
            size => full_body(Bytes::from(vec![b'x'; size])),
        };
        let request = Request::builder()
            .method(workload.method)
            .uri(workload.path)
            .header(HOST, workload.host)
            .header(TargetStandIn::WORK_HEADER, arrival.work.as_micros().to_string())
            .header(TargetStandIn::ID_HEADER, id.to_string())
            .header("idempotency-key", format!("key-{id}"))
            .body(body)
            .ok()?;
        let response = self.pool.send(vm, request).await.ok()?;
        Some(read_outcome(response, id).await)
    }
}

async fn read_outcome(response: Response<Body>, id: u64) -> Outcome {
    let (head, body) = response.into_parts();
    let header = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    let own = header(TargetStandIn::ID_HEADER) == Some(id.to_string().as_str());
    let whole = body.collect().await.is_ok();
    match head.status {
        StatusCode::OK if own && whole => Outcome::Answered,
        _ if header("request-outcome") == Some("not-run") => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Sends all arrivals in time and waits for their answers.
async fn send_traffic(callers: &Arc<Callers>, options: &DemoOptions) {
    let start = Instant::now();
    let end = Duration::from_secs(options.seconds);
    let mut requests = tokio::task::JoinSet::new();
    let progress = tokio::spawn(show_progress(Arc::clone(callers), start));
    let arrivals = Arrivals::new(callers.workloads, callers.homes.len(), options.seed);
    for arrival in arrivals.take_while(|arrival| arrival.at < end) {
        sleep_until(start + arrival.at).await;
        let callers = Arc::clone(callers);
        requests.spawn(async move { callers.send(arrival).await });
    }
    while requests.join_next().await.is_some() {}
    progress.abort();
    println!();
}

/// Shows a line that is written anew each second.
async fn show_progress(callers: Arc<Callers>, start: Instant) {
    let mut ticks = interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        let report = callers.report();
        let counts =
            [Outcome::Answered, Outcome::Refused, Outcome::Failed].map(|o| report.count(o));
        drop(report);
        let line = format!(
            "{:>3} s  answered {:>7}  refused {:>5}  failed {:>5}",
            start.elapsed().as_secs(),
            counts[0],
            counts[1],
            counts[2]
        );
        let mut out = std::io::stdout();
        let end = if out.is_terminal() { "\r" } else { "\n" };
        // A closed terminal must not end the run.
        let _written = write!(out, "{line}{end}").and_then(|()| out.flush());
    }
}
