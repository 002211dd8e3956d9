//! A target: slots, service times that the request names, and a record of what it ran.

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

/// How a target behaves; may be changed while it runs.
///
/// ```
/// use lab::TargetControls;
/// let controls = TargetControls::default().slowdown(10.0);
/// assert_eq!(controls.slowdown, 10.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TargetControls {
    /// Requests that are cold: their service time is `cold_factor` times as long.
    pub cold: u32,
    /// Factor on the service time of cold requests.
    pub cold_factor: f64,
    /// Age of what the load report shows.
    pub lag: Duration,
    /// The load report says that the target is leaving.
    pub leaving: bool,
    /// Requests that may wait for a slot; more are shed.
    pub queue: u32,
    /// Factor on service times.
    pub slowdown: f64,
}

impl TargetControls {
    /// Sets the requests that are cold.
    pub fn cold(mut self, requests: u32) -> Self {
        self.cold = requests;
        self
    }

    /// Sets whether the target says that it is leaving.
    pub fn leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets the factor on service times.
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
            lag: Duration::from_secs(1),
            leaving: false,
            queue: 1000,
            slowdown: 1.0,
        }
    }
}

/// One request that a target began to run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// When it began.
    pub at: Instant,
    /// Number of the caller's home region.
    pub home: usize,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Path of the request.
    pub path: String,
}

#[derive(Debug, Default)]
struct Record {
    busy: u32,
    history: VecDeque<(Instant, u32, u32)>,
    most_busy: u32,
    queued: u32,
    runs: Vec<RunRecord>,
    shed: u64,
}

/// A target with a number of slots.
#[derive(Debug)]
pub struct TargetStandIn {
    controls: Mutex<TargetControls>,
    crashes: watch::Sender<u64>,
    record: Mutex<Record>,
    slots: Arc<Semaphore>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of a target's lock panics")
}

impl TargetStandIn {
    /// Header that makes the target crash as it runs the request.
    pub const CRASH_HEADER: &'static str = "x-crash";
    /// Header with the number of the caller's home region.
    pub const HOME_HEADER: &'static str = "x-home-region";
    /// Header that names a request; the answer carries it back.
    pub const ID_HEADER: &'static str = "x-request-id";
    /// Header with the service time of a request in microseconds.
    pub const WORK_HEADER: &'static str = "x-work-us";

    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn start(address: SocketAddr, slots: u32) -> io::Result<Arc<Self>> {
        let listener = Listener::bind(address, ListenerLimits::default()).await?;
        let target = Arc::new(Self {
            controls: Mutex::default(),
            crashes: watch::Sender::new(0),
            record: Mutex::default(),
            slots: Arc::new(Semaphore::new(slots as usize)),
        });
        let handler = Arc::clone(&target);
        tokio::spawn(listener.serve(move |request, _| {
            let target = Arc::clone(&handler);
            async move { target.answer_or_crash(request).await }
        }));
        Ok(target)
    }

    /// Reads how the target behaves.
    pub fn controls(&self) -> TargetControls {
        *lock(&self.controls)
    }

    /// Changes how the target behaves.
    pub fn set_controls(&self, controls: TargetControls) {
        *lock(&self.controls) = controls;
    }

    /// What the target began to run, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.record).runs.clone()
    }

    /// Requests at the target now, waiting ones too.
    pub fn busy(&self) -> u32 {
        lock(&self.record).busy
    }

    /// Most requests at the target at a time, waiting ones too, and requests shed.
    pub fn extremes(&self) -> (u32, u64) {
        let record = lock(&self.record);
        (record.most_busy, record.shed)
    }

    /// Times that the target crashed.
    pub fn crashes(&self) -> u64 {
        *self.crashes.borrow()
    }

    /// Answers, or ends the connection without an answer where the target crashes meanwhile.
    async fn answer_or_crash(&self, request: Request<Body>) -> Response<Body> {
        let mut crashes = self.crashes.subscribe();
        if request.headers().contains_key(Self::CRASH_HEADER) {
            self.note_run(request.headers(), request.uri().path());
            self.crashes.send_modify(|n| *n += 1);
        }
        tokio::select! {
            biased;
            // The connection's task ends here, which closes its socket.
            _ = crashes.changed() => resume_unwind(Box::new("crash")),
            response = self.answer(request) => response,
        }
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        if request.uri().path() == HttpTargets::LOAD_PATH {
            return self.report_load();
        }
        let _present = Present::new(self);
        let Some(_slot) = self.take_slot().await else {
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
            return response;
        };
        self.run(request).await
    }

    /// Reports the load as it was some time ago.
    fn report_load(&self) -> Response<Body> {
        let controls = self.controls();
        let mut record = lock(&self.record);
        let now = Instant::now();
        let (busy, queued) = (record.busy - record.queued, record.queued);
        record.history.push_back((now, busy, queued));
        while record.history.get(1).is_some_and(|(at, ..)| now - *at >= controls.lag) {
            record.history.pop_front();
        }
        let (_, busy, queued) = record.history.front().copied().unwrap_or((now, busy, queued));
        let leaving = controls.leaving;
        let body = format!(r#"{{"busy":{busy},"leaving":{leaving},"queued":{queued}}}"#);
        Response::new(full_body(body))
    }

    async fn take_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        {
            let mut record = lock(&self.record);
            if record.queued >= self.controls().queue {
                record.shed += 1;
                return None;
            }
        }
        let _queued = Queued::new(self);
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    async fn run(&self, request: Request<Body>) -> Response<Body> {
        let (head, mut body) = request.into_parts();
        let (work, id) = self.note_run(&head.headers, head.uri.path());
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => received += frame.data_ref().map_or(0, bytes::Bytes::len),
                Err(_) => return Response::new(empty_body()),
            }
        }
        sleep(work.mul_f64(self.take_factor())).await;
        let mut response = Response::new(full_body(format!("received {received}\n")));
        if let Some(id) = id {
            response.headers_mut().insert(Self::ID_HEADER, id);
        }
        response
    }

    /// Records that a request begins; gives its service time and its name.
    fn note_run(&self, headers: &HeaderMap, path: &str) -> (Duration, Option<HeaderValue>) {
        let text = |name| headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let number = |name| text(name).and_then(|v| v.parse::<u64>().ok());
        lock(&self.record).runs.push(RunRecord {
            at: Instant::now(),
            home: number(Self::HOME_HEADER).unwrap_or_default() as usize,
            key: text("idempotency-key").map(str::to_owned),
            path: path.to_owned(),
        });
        let work = Duration::from_micros(number(Self::WORK_HEADER).unwrap_or(1000));
        (work, headers.get(Self::ID_HEADER).cloned())
    }

    /// The factor on the service time of the next request.
    fn take_factor(&self) -> f64 {
        let mut controls = lock(&self.controls);
        if controls.cold == 0 {
            return controls.slowdown;
        }
        controls.cold -= 1;
        controls.slowdown * controls.cold_factor
    }
}

/// Counts a request as present until it is dropped, also when it is cancelled.
struct Present<'a>(&'a TargetStandIn);

impl<'a> Present<'a> {
    fn new(target: &'a TargetStandIn) -> Self {
        let mut record = lock(&target.record);
        record.busy += 1;
        record.most_busy = record.most_busy.max(record.busy);
        Self(target)
    }
}

impl Drop for Present<'_> {
    fn drop(&mut self) {
        lock(&self.0.record).busy -= 1;
    }
}

/// Counts a request as waiting until it is dropped.
struct Queued<'a>(&'a TargetStandIn);

impl<'a> Queued<'a> {
    fn new(target: &'a TargetStandIn) -> Self {
        lock(&target.record).queued += 1;
        Self(target)
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        lock(&self.0.record).queued -= 1;
    }
}
