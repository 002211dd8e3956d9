//! One caller's request and its answer.

use super::{LookupCache, NaiveFront};
use crate::{Arrival, Outcome, TargetStandIn, Workload};
use adapters::ConnectionPool;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::{BodyExt, Collected, StreamBody};
use serde_json::Value;
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use steer::{Body, BodyError, SendError, empty_body, full_body};
use tokio::time::{Instant, sleep};

/// Bytes that a caller sends at a time.
const CHUNK: usize = 64 << 10;
/// Pause of a caller before it sends again.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// How a request ended, as its caller knows it.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    /// Idempotency key that it carried.
    pub key: String,
    /// Time from the first sending to the end.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// An answer of another request came.
    pub crossed: bool,
    /// Why the last sending was not answered, by the problem that came back.
    pub reason: Option<String>,
    /// Requests that were sent for it.
    pub sent: u32,
}

/// Sends requests as callers do.
#[derive(Debug)]
pub struct Callers {
    /// One-way delay between a caller and its entry VM.
    pub delay: Duration,
    /// Last part of the services' host names before `example`.
    pub domain: &'static str,
    /// Look-ups.
    pub lookups: LookupCache,
    /// Sends in place of entry VMs, where it is set.
    pub naive: Option<Arc<NaiveFront>>,
    /// Connections.
    pub pool: Arc<ConnectionPool>,
    /// Times that a refused request is sent again.
    pub repeats: u32,
    /// Kinds of request.
    pub workloads: Vec<Workload>,
    /// Prefix of keys and ids, another one in each run.
    pub prefix: String,
}

impl Callers {
    /// Sends a request until it is answered or the caller gives up.
    pub async fn run(&self, arrival: &Arrival) -> RequestEnd {
        let start = Instant::now();
        let key = format!("{}-{}", self.prefix, arrival.id);
        let mut end = RequestEnd {
            key,
            latency: Duration::ZERO,
            outcome: Outcome::Failed,
            crossed: false,
            reason: None,
            sent: 0,
        };
        loop {
            sleep(self.delay).await;
            let (outcome, reply) = self.exchange(arrival, &end.key, end.sent).await;
            sleep(self.delay).await;
            end.sent += 1;
            end.crossed |= reply.crossed;
            end.outcome = outcome;
            end.reason = reply.reason;
            if outcome != Outcome::Refused || end.sent > self.repeats {
                break;
            }
            sleep(REPEAT_PAUSE).await;
        }
        end.latency = start.elapsed();
        end
    }

    async fn exchange(&self, arrival: &Arrival, key: &str, attempt: u32) -> (Outcome, Reply) {
        let workload = &self.workloads[arrival.workload];
        let Some(request) = to_request(arrival, workload, key, self.domain) else {
            return (Outcome::Failed, Reply::default());
        };
        let response = match &self.naive {
            Some(front) => front.send(&workload.service.into(), arrival.region, request).await,
            None => self.send_to_entry(arrival, attempt, request).await,
        };
        match response {
            Ok(response) => read_outcome(response, key).await,
            Err(SendError::NotSent { .. }) => (Outcome::Refused, Reply::because("not sent")),
            Err(SendError::Sent { .. }) => (Outcome::Failed, Reply::because("connection lost")),
        }
    }

    /// Sends to the first entry VM of the list that takes a connection.
    async fn send_to_entry(
        &self,
        arrival: &Arrival,
        attempt: u32,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let block = (arrival.id % u64::from(LookupCache::BLOCKS)) as u8;
        let list = self.lookups.list(arrival.region, block).await;
        let turn = arrival.id as usize / usize::from(LookupCache::BLOCKS) + attempt as usize;
        for vm in in_turn(&list, turn) {
            match self.pool.send(vm, request).await {
                Err(SendError::NotSent { request: back, .. }) => request = *back,
                other => return other,
            }
        }
        Err(SendError::not_sent("no entry VM takes a connection", request))
    }
}

/// The two nearest VMs in turn, then the others in order.
fn in_turn(list: &[SocketAddr], turn: usize) -> impl Iterator<Item = SocketAddr> {
    let near = list.len().min(2);
    let first = (0..near).map(move |i| (turn + i) % near);
    first.chain(near..list.len()).map(|i| list[i])
}

fn to_request(
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
        .body(to_body(workload.body, key))
        .ok()
}

/// A body of a size; a large one is sent in chunks that share one buffer.
fn to_body(size: usize, key: &str) -> Body {
    if size == 0 {
        return empty_body();
    }
    if size <= CHUNK {
        return full_body(Bytes::from(format!("{key:x<size$}")));
    }
    let chunk = Bytes::from(vec![b'x'; CHUNK]);
    let frames = (0..size.div_ceil(CHUNK))
        .map(move |_| Ok::<_, Infallible>(http_body::Frame::data(chunk.clone())));
    StreamBody::new(futures_util::stream::iter(frames))
        .map_err(|e| BodyError { reason: e.to_string() })
        .boxed_unsync()
}

/// What came back for one sending.
#[derive(Debug, Default)]
struct Reply {
    crossed: bool,
    reason: Option<String>,
}

impl Reply {
    fn because(reason: &str) -> Self {
        Self { crossed: false, reason: Some(reason.to_owned()) }
    }
}

async fn read_outcome(response: Response<Body>, key: &str) -> (Outcome, Reply) {
    let (head, body) = response.into_parts();
    let header = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    let id = header(TargetStandIn::ID_HEADER);
    let crossed = id.is_some_and(|id| id != key);
    let body = body.collect().await.map(Collected::to_bytes);
    if head.status == StatusCode::OK && id == Some(key) && body.is_ok() {
        return (Outcome::Answered, Reply { crossed, reason: None });
    }
    let problem = body.ok().and_then(|b| serde_json::from_slice::<Value>(&b).ok());
    let kind = problem.as_ref().and_then(|p| p["type"].as_str()?.rsplit(':').next());
    let reason = Some(kind.unwrap_or("no problem").to_owned());
    let refused = header("request-outcome") == Some("not-run");
    let outcome = if refused { Outcome::Refused } else { Outcome::Failed };
    (outcome, Reply { crossed, reason })
}
