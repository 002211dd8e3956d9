//! Stand-in for a target, which has slots, runs each request for the service time that the request
//! gives, and records the requests that it ran.

use adapters::{HttpTargets, Listener, ListenerLimits};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    panic::resume_unwind,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, OUTCOME_HEADER, empty_body, full_body};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{Instant, sleep},
};

/// Behaviour of the stand-in for a target, which can be changed while it runs.
///
/// ```
/// use lab::TargetControls;
/// let controls = TargetControls::default().slowdown(10.0);
/// assert_eq!(controls.slowdown, 10.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TargetControls {
    /// Number of upcoming requests whose service time is multiplied by `cold_factor`.
    pub cold: u32,
    /// Factor on the service time of cold requests.
    pub cold_factor: f64,
    /// Age of the data in load reports.
    pub report_lag: Duration,
    /// Whether load reports announce that the target is leaving.
    pub leaving: bool,
    /// Maximum number of requests queued for a slot; further ones are shed.
    pub queue: u32,
    /// Factor on all service times.
    pub slowdown: f64,
}

impl TargetControls {
    /// Sets the number of cold requests.
    pub fn cold(mut self, requests: u32) -> Self {
        self.cold = requests;
        self
    }

    /// Sets whether load reports announce that the target is leaving.
    pub fn leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets the factor on all service times.
    pub fn slowdown(mut self, factor: f64) -> Self {
        self.slowdown = factor;
        self
    }
}

impl Default for TargetControls {
    fn default() -> Self {
        Self {
            cold: 0,
            cold_factor: 4.0,
            report_lag: Duration::from_secs(1),
            leaving: false,
            queue: 1000,
            slowdown: 1.0,
        }
    }
}

/// A request that a target started to run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Start time.
    pub at: Instant,
    /// Index of the caller's home region.
    pub home: usize,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Path of the request.
    pub path: String,
}

#[derive(Debug, Default)]
struct TargetCounters {
    busy: u32,
    history: VecDeque<(Instant, u32, u32)>,
    peak_busy: u32,
    queued: u32,
    runs: Vec<RunRecord>,
    shed: u64,
}

/// Stand-in for a target with a number of slots.
#[derive(Debug)]
pub struct TargetStandIn {
    controls: Mutex<TargetControls>,
    crashes: watch::Sender<u64>,
    counters: Mutex<TargetCounters>,
    slots: Arc<Semaphore>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of a target's lock panics")
}

impl TargetStandIn {
    /// Header that makes the target crash while it runs the request.
    pub const CRASH_HEADER: &'static str = "x-crash";
    /// Header with the index of the caller's home region.
    pub const HOME_HEADER: &'static str = "x-home-region";
    /// Header with the id of a request, which the response repeats.
    pub const ID_HEADER: &'static str = "x-request-id";
    /// Header with the service time of a request in microseconds.
    pub const WORK_HEADER: &'static str = "x-work-us";

    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr, slots: u32) -> io::Result<Arc<Self>> {
        let listener = Listener::bind(address, ListenerLimits::default()).await?;
        let target = Arc::new(Self {
            controls: Mutex::default(),
            crashes: watch::Sender::new(0),
            counters: Mutex::default(),
            slots: Arc::new(Semaphore::new(slots as usize)),
        });
        let handler = Arc::clone(&target);
        tokio::spawn(listener.serve(move |request, _| {
            let target = Arc::clone(&handler);
            async move { target.answer_or_crash(request).await }
        }));
        Ok(target)
    }

    /// Returns the current behaviour.
    pub fn controls(&self) -> TargetControls {
        *lock(&self.controls)
    }

    /// Sets the behaviour.
    pub fn set_controls(&self, controls: TargetControls) {
        *lock(&self.controls) = controls;
    }

    /// Returns the requests that the target started to run, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.counters).runs.clone()
    }

    /// Returns the number of requests at the target, including queued ones.
    pub fn busy(&self) -> u32 {
        lock(&self.counters).busy
    }

    /// Returns the peak number of requests at the target, including queued ones, and the number of
    /// requests shed.
    pub fn peak_and_shed(&self) -> (u32, u64) {
        let counters = lock(&self.counters);
        (counters.peak_busy, counters.shed)
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        *self.crashes.borrow()
    }

    /// Responds to a request, or closes the connection without a response if the target crashes
    /// in the meantime.
    async fn answer_or_crash(&self, request: Request<Body>) -> Response<Body> {
        let mut crashes = self.crashes.subscribe();
        if request.headers().contains_key(Self::CRASH_HEADER) {
            self.record_run(request.headers(), request.uri().path());
            self.crashes.send_modify(|n| *n += 1);
        }
        tokio::select! {
            biased;
            // Unwinding ends the connection's task, which closes its socket.
            _ = crashes.changed() => resume_unwind(Box::new("crash")),
            response = self.answer(request) => response,
        }
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        if request.uri().path() == HttpTargets::LOAD_PATH {
            return self.report_load();
        }
        let _in_flight = StandInGuard::new(self);
        let Some(_slot) = self.acquire_slot().await else {
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
            return response;
        };
        self.run(request).await
    }

    /// Reports the load as of `report_lag` ago.
    fn report_load(&self) -> Response<Body> {
        let controls = self.controls();
        let mut counters = lock(&self.counters);
        let now = Instant::now();
        let (busy, queued) = (counters.busy - counters.queued, counters.queued);
        counters.history.push_back((now, busy, queued));
        while counters.history.get(1).is_some_and(|(at, ..)| now - *at >= controls.report_lag) {
            counters.history.pop_front();
        }
        let (_, busy, queued) = counters.history.front().copied().unwrap_or((now, busy, queued));
        let leaving = controls.leaving;
        let body = format!(r#"{{"busy":{busy},"leaving":{leaving},"queued":{queued}}}"#);
        Response::new(full_body(body))
    }

    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        {
            let mut counters = lock(&self.counters);
            if counters.queued >= self.controls().queue {
                counters.shed += 1;
                return None;
            }
        }
        let _queued = QueuedGuard::new(self);
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    async fn run(&self, request: Request<Body>) -> Response<Body> {
        let (head, mut body) = request.into_parts();
        let (work, id) = self.record_run(&head.headers, head.uri.path());
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => received += frame.data_ref().map_or(0, bytes::Bytes::len),
                Err(_) => return Response::new(empty_body()),
            }
        }
        sleep(work.mul_f64(self.next_factor())).await;
        let mut response = Response::new(full_body(format!("received {received}\n")));
        if let Some(id) = id {
            response.headers_mut().insert(Self::ID_HEADER, id);
        }
        response
    }

    /// Records the start of a request and returns its service time and id.
    fn record_run(&self, headers: &HeaderMap, path: &str) -> (Duration, Option<HeaderValue>) {
        let text = |name| headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let number = |name| text(name).and_then(|v| v.parse::<u64>().ok());
        lock(&self.counters).runs.push(RunRecord {
            at: Instant::now(),
            home: number(Self::HOME_HEADER).unwrap_or_default() as usize,
            key: text("idempotency-key").map(str::to_owned),
            path: path.to_owned(),
        });
        let work = Duration::from_micros(number(Self::WORK_HEADER).unwrap_or(1000));
        (work, headers.get(Self::ID_HEADER).cloned())
    }

    /// Returns the factor on the service time of the next request, and decrements the number of
    /// cold requests.
    fn next_factor(&self) -> f64 {
        let mut controls = lock(&self.controls);
        if controls.cold == 0 {
            return controls.slowdown;
        }
        controls.cold -= 1;
        controls.slowdown * controls.cold_factor
    }
}

/// Counts a request as in flight until dropped, including when the request is cancelled.
struct StandInGuard<'a>(&'a TargetStandIn);

impl<'a> StandInGuard<'a> {
    fn new(target: &'a TargetStandIn) -> Self {
        let mut counters = lock(&target.counters);
        counters.busy += 1;
        counters.peak_busy = counters.peak_busy.max(counters.busy);
        Self(target)
    }
}

impl Drop for StandInGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.counters).busy -= 1;
    }
}

/// Counts a request as queued until dropped.
struct QueuedGuard<'a>(&'a TargetStandIn);

impl<'a> QueuedGuard<'a> {
    fn new(target: &'a TargetStandIn) -> Self {
        lock(&target.counters).queued += 1;
        Self(target)
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.counters).queued -= 1;
    }
}
