//! Simulated target that records the requests it executes.

use crate::{HistoryRecorder, LinkFault, Proxy, Run};
use adapters::{Listener, ListenerLimits};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};
use steer::{Body, empty_body, full_body};
use tokio::time::{Instant, sleep};

/// Number of slots that a target reports.
const SLOTS: u32 = 8;
/// Maximum number of requests in progress; further requests are refused.
const MAX_REQUESTS: u32 = 24;
/// Processing time of a request.
const PROCESSING_TIME: Duration = Duration::from_millis(40);

/// A target behind a proxy.
#[derive(Debug)]
pub struct SoakTarget {
    incarnation: Arc<AtomicU64>,
    number: usize,
    proxy: Proxy,
    service: &'static str,
    zone: &'static str,
}

/// Request handler of a target.
#[derive(Clone, Debug)]
struct RequestHandler {
    busy: Arc<AtomicU32>,
    incarnation: Arc<AtomicU64>,
    recorder: Arc<HistoryRecorder>,
    number: usize,
    service: &'static str,
}

/// Returns the name of a target's incarnation.
fn name(number: usize, incarnation: u64) -> String {
    format!("i-{number}-{incarnation}")
}

impl SoakTarget {
    /// Starts a target and its proxy.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        number: usize,
        service: &'static str,
        zone: &'static str,
        recorder: Arc<HistoryRecorder>,
    ) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(any, ListenerLimits::default()).await?;
        let proxy = Proxy::start(listener.address()?).await?;
        let incarnation = Arc::new(AtomicU64::new(1));
        let handler = RequestHandler {
            busy: Arc::default(),
            incarnation: Arc::clone(&incarnation),
            recorder,
            number,
            service,
        };
        tokio::spawn(listener.serve(move |request, _| {
            let handler = handler.clone();
            async move { handler.handle(request).await }
        }));
        Ok(Self { incarnation, number, proxy, service, zone })
    }

    /// Returns the address of the proxy, at which VMs reach the target.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Returns the name of the current incarnation.
    pub fn name(&self) -> String {
        name(self.number, self.incarnation.load(Ordering::Relaxed))
    }

    /// Replaces the current incarnation by the next.
    pub fn restart(&self) {
        self.incarnation.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the target's service.
    pub fn service(&self) -> &'static str {
        self.service
    }

    /// Injects a fault into the connections to the target.
    pub fn set_fault(&self, fault: LinkFault) {
        self.proxy.set_fault(fault);
    }

    /// Returns the target's availability zone.
    pub fn zone(&self) -> &'static str {
        self.zone
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn respond(status: StatusCode, body: Body, header: (&'static str, &'static str)) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header.0, HeaderValue::from_static(header.1));
    response
}

impl RequestHandler {
    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let headers = request.headers().clone();
        let id = text(&headers, "request-id").to_owned();
        let expected = text(&headers, "expect-instance").to_owned();
        let own = name(self.number, self.incarnation.load(Ordering::Relaxed));
        let refusal = ("not-run", "1");
        if !expected.is_empty() && expected != own {
            return respond(StatusCode::MISDIRECTED_REQUEST, empty_body(), refusal);
        }
        if self.busy.load(Ordering::Relaxed) >= MAX_REQUESTS {
            return respond(StatusCode::SERVICE_UNAVAILABLE, empty_body(), refusal);
        }
        let _busy = BusyGuard::new(&self.busy);
        let run = Run {
            at: Instant::now(),
            service: self.service,
            target: self.number,
            unnamed: expected.is_empty(),
        };
        self.recorder.record_run(&id, run);
        let Ok(body) = request.into_body().collect().await else {
            // The sender aborted the body, so nobody receives this response.
            return respond(StatusCode::BAD_REQUEST, empty_body(), refusal);
        };
        sleep(PROCESSING_TIME).await;
        let length = body.to_bytes().len();
        let stamp = ("response-stamp", "3e1b.07");
        let body = full_body(format!("{id} {length}"));
        let mut response = respond(StatusCode::OK, body, stamp);
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("request-id", id);
        }
        let load = format!("{},0,{SLOTS},100", self.busy.load(Ordering::Relaxed));
        if let Ok(load) = HeaderValue::from_str(&load) {
            response.headers_mut().insert("server-load", load);
        }
        response
    }
}

/// Counts a request as in progress until dropped.
struct BusyGuard(Arc<AtomicU32>);

impl BusyGuard {
    fn new(busy: &Arc<AtomicU32>) -> Self {
        busy.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(busy))
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
