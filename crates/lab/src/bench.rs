//! Benchmarks of an entry VM: proxy latency, lookup throughput and memory use of an upload.

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

/// Rate of the direct requests; the proxied requests have the same rate.
const REQUESTS_PER_SECOND: u64 = 2_000;
/// Duration of the latency benchmark; the lookup benchmarks take half of it.
const DURATION: Duration = Duration::from_secs(8);
/// The histograms omit the requests up to this index, counted from 0 over both kinds: 2,001
/// requests.
const WARM_UP_REQUESTS: u64 = 2_000;
/// Maximum latency added by the proxy at p99, in microseconds.
const MAX_OVERHEAD_US: f64 = 300.0;
/// Minimum lookups per second of CPU time.
const MIN_LOOKUPS_PER_CPU_SECOND: f64 = 20_000.0;
/// Concurrent connections in the lookup benchmarks.
const LOOKUP_CONNECTIONS: usize = 32;
/// Size of the upload in bytes.
const UPLOAD_BYTES: usize = 200 << 20;
/// Maximum memory that the upload may add, in bytes.
const MAX_UPLOAD_MEMORY_BYTES: f64 = 16_777_216.0;
/// Clock ticks per second of the CPU times in `/proc/PID/stat`: USER_HZ, which is 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Runs the benchmarks and prints the results; returns whether every bound is met.
///
/// # Errors
///
/// If the fleet can't be started or a measurement can't be read.
pub async fn run_bench(deployment: Deployment) -> Result<bool, Box<dyn Error>> {
    let fleet = Fleet::start(deployment, true, 1.0).await?;
    let bench = Bench::new(deployment, &fleet)?;
    bench.wait_until_serving().await?;
    let overhead = bench.measure_overhead().await;
    let lookups = bench.measure_lookups().await?;
    let upload = bench.measure_upload().await?;
    let rows = [
        ("p99 latency added by the proxy, µs", overhead, MAX_OVERHEAD_US, false),
        ("lookups per second of CPU time", lookups, MIN_LOOKUPS_PER_CPU_SECOND, true),
        ("memory added by a 200 MB upload, bytes", upload, MAX_UPLOAD_MEMORY_BYTES, false),
    ];
    println!("\n{:<44} {:>14} {:>14}", "bound", "figure", "limit");
    let mut all_met = true;
    for (text, measured, limit, at_least) in rows {
        let is_met = if at_least { measured >= limit } else { measured <= limit };
        let verdict = if is_met { "" } else { "  FALLS SHORT" };
        println!("{text:<44} {measured:>14.0} {limit:>14.0}{verdict}");
        all_met &= is_met;
    }
    Ok(all_met)
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
    /// Uses the last entry VM, the only one in its availability zone, and a target in that zone.
    fn new(deployment: Deployment, fleet: &Fleet) -> Result<Self, Box<dyn Error>> {
        let (vm, zone) = deployment.entry_vms().last().cloned().ok_or("no entry VM")?;
        let (service, path) = match deployment.name() {
            "zadruga" => ("archive", "/surveys/1"),
            _ => ("media", "/uploads/1"),
        };
        let main_service = if deployment.name() == "zadruga" { "calendar" } else { "briefs" };
        let host = |service| format!("{service}.{}.example", deployment.name());
        let target = find_target(fleet, main_service, &zone).ok_or("no target in the zone")?;
        let child = fleet.entry_vms.get(&vm).ok_or("no such entry VM")?;
        Ok(Self {
            callers: fleet.network.entry(vm, Network::CALLERS_PORT),
            host: host(main_service),
            operators: fleet.network.entry(vm, Network::OPERATORS_PORT),
            pool: ConnectionPool::new(),
            process: child.id().ok_or("the entry VM has ended")?,
            target,
            upload: (host(service), path),
        })
    }

    async fn wait_until_serving(&self) -> Result<(), Box<dyn Error>> {
        for _ in 0..200 {
            if self
                .call(self.callers, self.zero_work_request())
                .await
                .is_ok_and(|status| status == 200)
            {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err("the entry VM did not start serving in time".into())
    }

    /// Builds a request to the main service with a service time of zero.
    fn zero_work_request(&self) -> Request<Body> {
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

    /// Alternates requests sent directly to the target and through the entry VM; returns the
    /// difference of the p99 latencies in microseconds.
    async fn measure_overhead(&self) -> f64 {
        let histograms = Arc::new(Mutex::new(
            [0, 1].map(|_| Histogram::<u64>::new(3).expect("three digits are valid")),
        ));
        let mut requests = JoinSet::new();
        let start = Instant::now();
        let total = 2 * REQUESTS_PER_SECOND * DURATION.as_secs();
        for n in 0..total {
            sleep_until(start + DURATION.mul_f64(n as f64 / total as f64)).await;
            let kind = (n % 2) as usize;
            let to = [self.target, self.callers][kind];
            let (pool, histograms) = (Arc::clone(&self.pool), Arc::clone(&histograms));
            let request = self.zero_work_request();
            requests.spawn(async move {
                let sent = Instant::now();
                let Ok(response) = pool.send(to, request).await else { return };
                let is_complete = response.into_body().collect().await.is_ok();
                if is_complete && n > WARM_UP_REQUESTS {
                    let us = sent.elapsed().as_micros() as u64;
                    let mut histograms = histograms.lock().expect("no holder panics");
                    histograms[kind]
                        .record(us)
                        .expect("an auto-resizing histogram accepts all values");
                }
            });
        }
        while requests.join_next().await.is_some() {}
        let histograms = histograms.lock().expect("no holder panics");
        println!(
            "{:<24} {:>9} {:>9} {:>9} {:>9}",
            "at 2,000/s each", "n", "p50 µs", "p99 µs", "p99.9 µs"
        );
        for (label, h) in ["direct", "through an entry VM"].iter().zip(histograms.iter()) {
            let [a, b, c] = [0.5, 0.99, 0.999].map(|q| h.value_at_quantile(q));
            println!("{label:<24} {:>9} {a:>9} {b:>9} {c:>9}", h.len());
        }
        let [direct, through] = [0, 1].map(|kind| histograms[kind].value_at_quantile(0.99));
        through as f64 - direct as f64
    }

    /// Measures lookups per second of the entry VM's CPU time, and prints the rate of empty
    /// responses for comparison.
    async fn measure_lookups(&self) -> Result<f64, Box<dyn Error>> {
        let empty = self.responses_per_cpu_second(self.operators, "/nothing").await?;
        let lookup = format!("{LOOKUP_PATH}?block=10.1.0.0/16");
        let lookups = self.responses_per_cpu_second(self.callers, &lookup).await?;
        println!(
            "lookups per second of CPU time {lookups:.0}, empty responses {empty:.0}, ratio {:.2}",
            lookups / empty
        );
        Ok(lookups)
    }

    /// Sends requests in a closed loop on [`LOOKUP_CONNECTIONS`] connections for half of
    /// [`DURATION`]; returns the completed responses, of any status, per second of the entry VM's
    /// CPU time.
    async fn responses_per_cpu_second(
        &self,
        to: SocketAddr,
        path: &str,
    ) -> Result<f64, Box<dyn Error>> {
        let before = cpu_time_seconds(self.process)?;
        let until = Instant::now() + DURATION / 2;
        let count = Arc::new(AtomicU64::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..LOOKUP_CONNECTIONS {
            let (pool, count, path) = (Arc::clone(&self.pool), Arc::clone(&count), path.to_owned());
            clients.spawn(async move {
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
        while clients.join_next().await.is_some() {}
        let spent = cpu_time_seconds(self.process)? - before;
        Ok(count.load(Ordering::Relaxed) as f64 / spent)
    }

    /// Measures the entry VM's peak memory since its start minus its memory just before the upload,
    /// in bytes. Returns NaN, which meets no limit, if the upload isn't answered with 200.
    async fn measure_upload(&self) -> Result<f64, Box<dyn Error>> {
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

fn find_target(fleet: &Fleet, service: &str, zone: &AvailabilityZoneName) -> Option<SocketAddr> {
    let service = fleet.snapshot.service(&service.into())?;
    service.settings.targets.values().find(|t| t.zone == *zone).map(|t| t.address)
}

/// Builds a body that repeats one shared chunk, so that the sender doesn't hold 200 MB in memory.
fn large_body() -> Body {
    let chunk = Bytes::from(vec![b'x'; 64 << 10]);
    let frames = (0..UPLOAD_BYTES / chunk.len())
        .map(move |_| Ok::<_, Infallible>(http_body::Frame::data(chunk.clone())));
    StreamBody::new(futures_util::stream::iter(frames))
        .map_err(|e| BodyError { reason: e.to_string() })
        .boxed_unsync()
}

/// Reads the total CPU time of a process, in seconds.
pub(crate) fn cpu_time_seconds(process: u32) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("/proc stat has no process name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> Result<f64, Box<dyn Error>> {
        Ok(fields.get(index).ok_or("/proc stat has too few fields")?.parse()?)
    };
    let (utime, stime) = (ticks(11)?, ticks(12)?);
    Ok((utime + stime) / TICKS_PER_SECOND)
}

/// Reads a memory field of `/proc/PID/status`, in bytes.
pub(crate) fn memory_bytes(process: u32, field: &str) -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find(|line| line.starts_with(field))
        .ok_or("/proc status lacks the memory field")?;
    let kibibytes: f64 =
        line.split_whitespace().nth(1).ok_or("the memory field has no value")?.parse()?;
    Ok(kibibytes * 1024.0)
}
