//! Callers that send requests and record the outcome of each.

use crate::{
    CallOutcome, Completion, HistoryRecorder, Kind, SoakFleet, soak_fleet::ListenAddresses,
};
use adapters::ConnectionPool;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::Value;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use steer::{SendError, empty_body, full_body};
use tokio::time::{Instant, sleep, timeout};

/// Deadline of a request.
pub(super) const DEADLINE: Duration = Duration::from_secs(3);
/// Time beyond the deadline after which a response counts as missing.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Mean pause between two requests of a caller.
pub(super) const REQUEST_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a directory response is cached; the directory allows two seconds.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Timeout of a directory lookup.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of requests that go to the same VM as the one before.
const KEEP_SHARE: f64 = 0.5;
/// One in this many callers stays with its VM until its process is gone.
const LOYAL_CALLERS: u64 = 4;
/// Size of an upload in bytes.
const UPLOAD_BYTES: usize = 100 << 10;

/// Sends requests until the task is aborted. Pooled connections are reused until they fail.
pub async fn run_caller(fleet: Arc<SoakFleet>, number: u64, seed: u64) {
    let caller = Caller::new(&fleet);
    let mut rng = SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9));
    let (mut addresses, mut resolved) = (Vec::new(), Instant::now());
    // VM that is used until its connection fails, also when the directory no longer lists it.
    let mut kept = None;
    let keep_share = if number.is_multiple_of(LOYAL_CALLERS) { 1.0 } else { KEEP_SHARE };
    for count in 0_u64.. {
        if addresses.is_empty() || resolved.elapsed() > DIRECTORY_TTL {
            // Callers keep using the last addresses while the directory can't be reached.
            if let Some(fresh) = caller.resolve(&mut rng).await {
                addresses = fresh;
                resolved = Instant::now();
            }
        }
        sleep(REQUEST_PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
        if addresses.is_empty() {
            continue;
        }
        let listed = addresses[rng.random_range(0..addresses.len())];
        let address = kept.filter(|_| rng.random_bool(keep_share)).unwrap_or(listed);
        let Some(vm) = caller.vms.iter().position(|vm| vm.callers == address) else {
            continue;
        };
        let kind = match rng.random_range(0..10) {
            0 => Kind::Upload,
            1..=3 => Kind::Once,
            4 | 5 => Kind::Moved,
            _ => Kind::Read,
        };
        let id = format!("{number}-{count}");
        let object = rng.random_range(0..20);
        let outcome = caller.call((address, vm), kind, &id, object).await;
        let failed = matches!(outcome, CallOutcome::Broken | CallOutcome::Unreached);
        kept = (!failed).then_some(address);
        if matches!(outcome, CallOutcome::Unreached) {
            addresses.retain(|other| *other != address);
        }
    }
}

pub(super) struct Caller {
    pub(super) recorder: Arc<HistoryRecorder>,
    pool: Arc<ConnectionPool>,
    pub(super) vms: Vec<ListenAddresses>,
}

impl Caller {
    pub(super) fn new(fleet: &SoakFleet) -> Self {
        Self {
            recorder: Arc::clone(&fleet.recorder),
            pool: ConnectionPool::with_connect_timeout(Duration::from_secs(1)),
            vms: fleet.addresses.clone(),
        }
    }

    /// Looks up addresses at the directories of up to three random VMs.
    pub(super) async fn resolve(&self, rng: &mut SmallRng) -> Option<Vec<SocketAddr>> {
        let zone = if rng.random_bool(0.7) { ("lis-a", "lisboa") } else { ("por-a", "porto") };
        for _ in 0..3 {
            let directory = self.vms[rng.random_range(0..self.vms.len())].directory;
            let (zone, region) = zone;
            let path = format!("/-/resolve?name=soak.example&region={region}&zone={zone}");
            let request = Request::get(path).header("host", "soak.example").body(empty_body());
            let Ok(request) = request else { return None };
            let response = async {
                let response = self.pool.send(directory, request).await.ok()?;
                let bytes = response.into_body().collect().await.ok()?.to_bytes();
                let value: Value = serde_json::from_slice(&bytes).ok()?;
                let list = value["addresses"].as_array()?.iter();
                list.map(|address| address.as_str()?.parse().ok()).collect()
            };
            // On failure, try another VM.
            if let Ok(Some(addresses)) = timeout(DIRECTORY_TIMEOUT, response).await {
                return Some(addresses);
            }
        }
        None
    }

    async fn call(
        &self,
        (address, vm): (SocketAddr, usize),
        kind: Kind,
        id: &str,
        object: u32,
    ) -> CallOutcome {
        let (name, method, body) = match kind {
            Kind::Moved => ("moved", Method::GET, Bytes::new()),
            Kind::Once => ("once", Method::POST, Bytes::from_static(b"approve")),
            Kind::Read => ("read", Method::GET, Bytes::new()),
            Kind::Upload => ("upload", Method::POST, Bytes::from(vec![7; UPLOAD_BYTES])),
        };
        let length = body.len();
        let request = Request::builder()
            .method(method)
            .uri(format!("/{name}/{object}"))
            .header("host", "soak.example")
            .header("request-id", id)
            .header("affinity-key", object)
            .header("deadline-ms", DEADLINE.as_millis() as u64)
            .body(full_body(body))
            .expect("all parts of the request are valid");
        let sent = Instant::now();
        let exchange = async {
            let response = match self.pool.send(address, request).await {
                Ok(response) => response,
                Err(SendError::NotSent { .. }) => return CallOutcome::Unreached,
                Err(SendError::Sent { .. }) => return CallOutcome::Broken,
            };
            let signed = response.headers().contains_key("response-stamp");
            let status = response.status();
            let Ok(body) = response.into_body().collect().await else { return CallOutcome::Broken };
            if status != StatusCode::OK {
                return CallOutcome::Status(status.as_u16());
            }
            let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            CallOutcome::Answer(if signed { text } else { format!("unsigned: {text}") })
        };
        let outcome =
            timeout(DEADLINE + RESPONSE_MARGIN, exchange).await.unwrap_or(CallOutcome::None);
        let outcome = match outcome {
            CallOutcome::Answer(text) if text == format!("{id} {length}") => {
                CallOutcome::Answer("whole".to_owned())
            }
            other => other,
        };
        let completion = Completion {
            at: Instant::now(),
            outcome: outcome.clone(),
            kind,
            pipelined: false,
            sent,
            vm,
        };
        self.recorder.record_completion(id.to_owned(), completion);
        outcome
    }
}
