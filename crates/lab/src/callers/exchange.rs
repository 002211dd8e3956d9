//! Sends requests as callers do, and classifies the responses.

use super::{LookupCache, NaiveBalancer};
use crate::{Arrival, RequestOutcome, TargetStandIn, Workload};
use adapters::ConnectionPool;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::{BodyExt, Collected, StreamBody};
use serde_json::Value;
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use steer::{Body, BodyError, SendError, empty_body, full_body};
use tokio::time::{Instant, sleep};

/// Size of the frames of a large request body.
const CHUNK_BYTES: usize = 64 << 10;
/// Delay before a caller retries a refused request.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of a request as its caller observed it.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Idempotency key of the request.
    pub key: String,
    /// Time from the first attempt to the end of the last one.
    pub latency: Duration,
    /// Outcome of the last attempt.
    pub outcome: RequestOutcome,
    /// Whether a response to another request was received.
    pub crossed: bool,
    /// Why the last attempt was not answered: the type of the returned problem document, or the
    /// connection error.
    pub reason: Option<String>,
    /// Number of attempts.
    pub attempts: u32,
}

/// Stand-in for all callers, which sends requests as they do.
#[derive(Debug)]
pub struct Callers {
    /// One-way network delay between a caller and its entry VM.
    pub delay: Duration,
    /// Domain of the services' host names, without the top-level domain `example`.
    pub domain: &'static str,
    /// Cached lookups of entry VMs.
    pub lookups: LookupCache,
    /// Naive load balancer that replaces the entry VMs, if set.
    pub naive: Option<Arc<NaiveBalancer>>,
    /// Connections to the entry VMs.
    pub pool: Arc<ConnectionPool>,
    /// Maximum number of retries of a refused request.
    pub max_retries: u32,
    /// Workloads, indexed by [`Arrival::workload`].
    pub workloads: Vec<Workload>,
    /// Prefix that makes idempotency keys and request ids unique to the run.
    pub prefix: String,
}

impl Callers {
    /// Sends a request, and retries it as long as it is refused and retries are left.
    pub async fn run(&self, arrival: &Arrival) -> RequestResult {
        let start = Instant::now();
        let key = format!("{}-{}", self.prefix, arrival.id);
        let mut result = RequestResult {
            key,
            latency: Duration::ZERO,
            outcome: RequestOutcome::Failed,
            crossed: false,
            reason: None,
            attempts: 0,
        };
        loop {
            sleep(self.delay).await;
            let (outcome, reply) = self.send_once(arrival, &result.key, result.attempts).await;
            sleep(self.delay).await;
            result.attempts += 1;
            result.crossed |= reply.crossed;
            result.outcome = outcome;
            result.reason = reply.reason;
            if outcome != RequestOutcome::Refused || result.attempts > self.max_retries {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        result.latency = start.elapsed();
        result
    }

    async fn send_once(
        &self,
        arrival: &Arrival,
        key: &str,
        attempt: u32,
    ) -> (RequestOutcome, CallerReply) {
        let workload = &self.workloads[arrival.workload];
        let Some(request) = build_request(arrival, workload, key, self.domain) else {
            return (RequestOutcome::Failed, CallerReply::default());
        };
        let response = match &self.naive {
            Some(balancer) => {
                balancer.send(&workload.service.into(), arrival.region, request).await
            }
            None => self.send_to_entry(arrival, attempt, request).await,
        };
        match response {
            Ok(response) => evaluate(response, key).await,
            Err(SendError::NotSent { .. }) => {
                (RequestOutcome::Refused, CallerReply::with_reason("not sent"))
            }
            Err(SendError::Sent { .. }) => {
                (RequestOutcome::Failed, CallerReply::with_reason("connection lost"))
            }
        }
    }

    /// Sends to the first entry VM in the list that accepts a connection.
    async fn send_to_entry(
        &self,
        arrival: &Arrival,
        attempt: u32,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let block = (arrival.id % u64::from(LookupCache::BLOCKS)) as u8;
        let list = self.lookups.list(arrival.region, block).await;
        let offset = arrival.id as usize / usize::from(LookupCache::BLOCKS) + attempt as usize;
        for vm in attempt_order(&list, offset) {
            match self.pool.send(vm, request).await {
                Err(SendError::NotSent { request: back, .. }) => request = *back,
                other => return other,
            }
        }
        Err(SendError::not_sent("no entry VM accepted a connection", request))
    }
}

/// Returns the two nearest VMs, in an order that alternates with the offset, then the others in
/// the order of the list.
fn attempt_order(list: &[SocketAddr], offset: usize) -> impl Iterator<Item = SocketAddr> {
    let near = list.len().min(2);
    let first = (0..near).map(move |i| (offset + i) % near);
    first.chain(near..list.len()).map(|i| list[i])
}

fn build_request(
    arrival: &Arrival,
    workload: &Workload,
    key: &str,
    domain: &str,
) -> Option<Request<Body>> {
    let host = format!("{}.{domain}.example", workload.service);
    Request::builder()
        .method(workload.method)
        .uri(workload.path)
        .header(HOST, host)
        .header("x-member", arrival.member.as_str())
        .header(TargetStandIn::WORK_HEADER, arrival.work.as_micros().to_string())
        .header(TargetStandIn::ID_HEADER, key)
        .header(TargetStandIn::HOME_HEADER, arrival.region.to_string())
        .header("idempotency-key", key)
        .body(build_body(workload.body, key))
        .ok()
}

/// Builds a body of the given size. A large body is streamed in chunks that share one buffer.
fn build_body(size: usize, key: &str) -> Body {
    if size == 0 {
        return empty_body();
    }
    if size <= CHUNK_BYTES {
        return full_body(Bytes::from(format!("{key:x<size$}")));
    }
    let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
    let frames = (0..size.div_ceil(CHUNK_BYTES))
        .map(move |_| Ok::<_, Infallible>(http_body::Frame::data(chunk.clone())));
    StreamBody::new(futures_util::stream::iter(frames))
        .map_err(|e| BodyError { reason: e.to_string() })
        .boxed_unsync()
}

/// Details of the response to one attempt.
#[derive(Debug, Default)]
struct CallerReply {
    crossed: bool,
    reason: Option<String>,
}

impl CallerReply {
    fn with_reason(reason: &str) -> Self {
        Self { crossed: false, reason: Some(reason.to_owned()) }
    }
}

async fn evaluate(response: Response<Body>, key: &str) -> (RequestOutcome, CallerReply) {
    let (head, body) = response.into_parts();
    let header = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    let id = header(TargetStandIn::ID_HEADER);
    let crossed = id.is_some_and(|id| id != key);
    let body = body.collect().await.map(Collected::to_bytes);
    if head.status == StatusCode::OK && id == Some(key) && body.is_ok() {
        return (RequestOutcome::Answered, CallerReply { crossed, reason: None });
    }
    let problem = body.ok().and_then(|b| serde_json::from_slice::<Value>(&b).ok());
    let kind = problem.as_ref().and_then(|p| p["type"].as_str()?.rsplit(':').next());
    let reason = Some(kind.unwrap_or("no problem").to_owned());
    let refused = header("request-outcome") == Some("not-run");
    let outcome = if refused { RequestOutcome::Refused } else { RequestOutcome::Failed };
    (outcome, CallerReply { crossed, reason })
}
