//! What the program itself costs: overhead of a hop, look-ups a second, memory of an upload.

use crate::{Deployment, Fleet, Network, TargetStandIn};
use adapters::{ConnectionPool, LOOKUP_PATH};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header::HOST};
use http_body_util::{BodyExt, StreamBody};
use std::{
    convert::Infallible,
    error::Error,
    fs,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use steer::{AvailabilityZoneName, Body, BodyError, empty_body};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Requests a second of each kind.
const RATE: u64 = 2_000;
/// Time with requests.
const LENGTH: Duration = Duration::from_secs(8);
/// Requests of the beginning that don't count.
const WARM_UP: u64 = 2_000;
/// Highest allowed overhead of a hop at p99, in microseconds.
const OVERHEAD_LIMIT: f64 = 300.0;
/// Lowest allowed look-ups a second of processor time.
const LOOKUP_LIMIT: f64 = 20_000.0;
/// Connections that look up at the same time.
const LOOKUP_CONNECTIONS: usize = 32;
/// Bytes of the large upload.
const UPLOAD: usize = 200 << 20;
/// Most memory that the upload may add, in bytes.
const UPLOAD_LIMIT: f64 = 16_777_216.0;
/// Clock ticks a second in `/proc`.
const TICKS: f64 = 100.0;

/// Measures and prints; tells whether every bound holds.
///
/// # Errors
///
/// Where the fleet can't be started or a figure can't be read.
pub async fn run_bench(deployment: Deployment) -> Result<bool, Box<dyn Error>> {
    let fleet = Fleet::start(deployment, true, 1.0).await?;
    let bench = Bench::new(deployment, &fleet)?;
    bench.wait_until_served().await?;
    let overhead = bench.overhead().await;
    let lookups = bench.lookups().await?;
    let upload = bench.upload().await?;
    let rows = [
        ("p99 of a hop above a direct call, µs", overhead, OVERHEAD_LIMIT, false),
        ("look-ups a second of processor time", lookups, LOOKUP_LIMIT, true),
        ("memory added by a 200 MB upload, bytes", upload, UPLOAD_LIMIT, false),
    ];
    println!("\n{:<44} {:>14} {:>14}", "bound", "figure", "limit");
    let mut all = true;
    for (text, figure, limit, at_least) in rows {
        let holds = if at_least { figure >= limit } else { figure <= limit };
        let verdict = if holds { "" } else { "  FALLS SHORT" };
        println!("{text:<44} {figure:>14.0} {limit:>14.0}{verdict}");
        all &= holds;
    }
    Ok(all)
}

struct Bench {
    callers: SocketAddr,
    host: String,
    operators: SocketAddr,
    pool: Arc<ConnectionPool>,
    process: u32,
    target: SocketAddr,
    upload: (String, &'static str),
}

impl Bench {
    /// Takes an entry VM that stands alone in its availability zone, and a target there.
    fn new(deployment: Deployment, fleet: &Fleet) -> Result<Self, Box<dyn Error>> {
        let (vm, zone) = deployment.entry_vms().last().cloned().ok_or("no entry VM")?;
        let (service, path) = match deployment.name() {
            "zadruga" => ("archive", "/surveys/1"),
            _ => ("media", "/uploads/1"),
        };
        let main = if deployment.name() == "zadruga" { "calendar" } else { "briefs" };
        let host = |service| format!("{service}.{}.example", deployment.name());
        let target = target_in(fleet, main, &zone).ok_or("no target in the zone")?;
        let child = fleet.entry_vms.get(&vm).ok_or("no such entry VM")?;
        Ok(Self {
            callers: fleet.network.entry(vm, Network::CALLERS),
            host: host(main),
            operators: fleet.network.entry(vm, Network::OPERATORS),
            pool: ConnectionPool::new(),
            process: child.id().ok_or("the entry VM has ended")?,
            target,
            upload: (host(service), path),
        })
    }

    async fn wait_until_served(&self) -> Result<(), Box<dyn Error>> {
        for _ in 0..200 {
            if self.call(self.callers, self.short()).await.is_ok_and(|status| status == 200) {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err("the entry VM doesn't serve in time".into())
    }

    /// A short request that needs hardly any work.
    fn short(&self) -> Request<Body> {
        let path = if self.host.starts_with("calendar") { "/calendar/1" } else { "/briefs/1" };
        let mut request = Request::new(empty_body());
        *request.uri_mut() = path.parse().expect("the path is valid");
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.parse().expect("the host is valid"));
        headers.insert(TargetStandIn::WORK_HEADER, 0.into());
        request
    }

    async fn call(&self, to: SocketAddr, request: Request<Body>) -> Result<u16, Box<dyn Error>> {
        let response = self.pool.send(to, request).await?;
        let status = response.status().as_u16();
        response.into_body().collect().await?;
        Ok(status)
    }

    /// Sends to the target and through the entry VM in turn; gives the difference of the p99s.
    async fn overhead(&self) -> f64 {
        let histograms = Arc::new(Mutex::new(
            [0, 1].map(|_| Histogram::<u64>::new(3).expect("three digits are valid")),
        ));
        let mut requests = JoinSet::new();
        let start = Instant::now();
        let total = 2 * RATE * LENGTH.as_secs();
        for n in 0..total {
            sleep_until(start + LENGTH.mul_f64(n as f64 / total as f64)).await;
            let kind = (n % 2) as usize;
            let to = [self.target, self.callers][kind];
            let (pool, histograms) = (Arc::clone(&self.pool), Arc::clone(&histograms));
            let request = self.short();
            requests.spawn(async move {
                let sent = Instant::now();
                let Ok(response) = pool.send(to, request).await else { return };
                let whole = response.into_body().collect().await.is_ok();
                if whole && n > WARM_UP {
                    let us = sent.elapsed().as_micros() as u64;
                    let mut histograms = histograms.lock().expect("no holder panics");
                    histograms[kind].record(us).expect("histograms that resize take all values");
                }
            });
        }
        while requests.join_next().await.is_some() {}
        let histograms = histograms.lock().expect("no holder panics");
        println!(
            "{:<24} {:>9} {:>9} {:>9} {:>9}",
            "at 2,000 a second each", "n", "p50 µs", "p99 µs", "p99.9 µs"
        );
        for (label, h) in ["direct", "through an entry VM"].iter().zip(histograms.iter()) {
            let [a, b, c] = [0.5, 0.99, 0.999].map(|q| h.value_at_quantile(q));
            println!("{label:<24} {:>9} {a:>9} {b:>9} {c:>9}", h.len());
        }
        let [direct, through] = [0, 1].map(|kind| histograms[kind].value_at_quantile(0.99));
        through as f64 - direct as f64
    }

    /// Look-ups a second of the entry VM's processor time, beside empty answers.
    async fn lookups(&self) -> Result<f64, Box<dyn Error>> {
        let empty = self.closed_loop(self.operators, "/nothing").await?;
        let lookup = format!("{LOOKUP_PATH}?block=10.1.0.0/16");
        let lookups = self.closed_loop(self.callers, &lookup).await?;
        println!(
            "look-ups a second of processor time {lookups:.0}, empty answers {empty:.0}, ratio {:.2}",
            lookups / empty
        );
        Ok(lookups)
    }

    /// Answers a second of the entry VM's processor time with many connections at a time.
    async fn closed_loop(&self, to: SocketAddr, path: &str) -> Result<f64, Box<dyn Error>> {
        let before = processor_seconds(self.process)?;
        let until = Instant::now() + LENGTH / 2;
        let count = Arc::new(AtomicU64::new(0));
        let mut loops = JoinSet::new();
        for _ in 0..LOOKUP_CONNECTIONS {
            let (pool, count, path) = (Arc::clone(&self.pool), Arc::clone(&count), path.to_owned());
            loops.spawn(async move {
                while Instant::now() < until {
                    let request = Request::get(&path).header(HOST, "lookup").body(empty_body());
                    let Ok(request) = request else { return };
                    let Ok(response) = pool.send(to, request).await else { return };
                    if response.into_body().collect().await.is_ok() {
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        while loops.join_next().await.is_some() {}
        let spent = processor_seconds(self.process)? - before;
        Ok(count.load(Ordering::Relaxed) as f64 / spent)
    }

    /// Memory that the entry VM takes at the most while an upload passes.
    async fn upload(&self) -> Result<f64, Box<dyn Error>> {
        let before = memory_bytes(self.process, "VmRSS")?;
        let (host, path) = &self.upload;
        let mut request = Request::put(*path).header(HOST, host).body(large_body())?;
        request.headers_mut().insert(TargetStandIn::WORK_HEADER, 0.into());
        let start = Instant::now();
        let status = self.call(self.callers, request).await?;
        let seconds = start.elapsed().as_secs_f64();
        println!("upload of 200 MB: status {status}, {:.0} MB/s", 200.0 / seconds);
        if status != 200 {
            return Ok(f64::NAN);
        }
        Ok(memory_bytes(self.process, "VmHWM")? - before)
    }
}

fn target_in(fleet: &Fleet, service: &str, zone: &AvailabilityZoneName) -> Option<SocketAddr> {
    let service = fleet.snapshot.service(&service.into())?;
    service.settings.targets.values().find(|t| t.zone == *zone).map(|t| t.address)
}

/// A body that shares one chunk, so that the sender holds no 200 MB either.
fn large_body() -> Body {
    let chunk = Bytes::from(vec![b'x'; 64 << 10]);
    let frames = (0..UPLOAD / chunk.len())
        .map(move |_| Ok::<_, Infallible>(http_body::Frame::data(chunk.clone())));
    StreamBody::new(futures_util::stream::iter(frames))
        .map_err(|e| BodyError { reason: e.to_string() })
        .boxed_unsync()
}

/// Processor time of a process so far, in seconds.
pub(crate) fn processor_seconds(process: u32) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no process name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> Result<f64, Box<dyn Error>> {
        Ok(fields.get(index).ok_or("a field is missing")?.parse()?)
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS)
}

/// A memory figure of a process, in bytes.
pub(crate) fn memory_bytes(process: u32, field: &str) -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|line| line.starts_with(field)).ok_or("no such figure")?;
    let kilobytes: f64 = line.split_whitespace().nth(1).ok_or("no figure")?.parse()?;
    Ok(kilobytes * 1024.0)
}
