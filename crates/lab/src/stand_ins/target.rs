//! A target: slots, service times that the request names, and a record of what it ran.

use adapters::{HttpTargets, Listener, ListenerLimits};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, OUTCOME_HEADER, empty_body, full_body};
use tokio::{sync::Semaphore, time::sleep};

/// How a target behaves; may be changed while it runs.
#[derive(Clone, Copy, Debug)]
pub struct TargetControls {
    /// Factor on service times.
    pub slowdown: f64,
    /// Requests that may wait for a slot; more are shed.
    pub queue: u32,
}

impl Default for TargetControls {
    fn default() -> Self {
        Self { queue: 0, slowdown: 1.0 }
    }
}

#[derive(Debug, Default)]
struct Record {
    busy: u32,
    most_busy: u32,
    queued: u32,
    runs: BTreeMap<String, u32>,
    shed: u64,
}

/// A target with a number of slots.
#[derive(Debug)]
pub struct TargetStandIn {
    controls: Mutex<TargetControls>,
    record: Mutex<Record>,
    slots: Arc<Semaphore>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of a target's lock panics")
}

impl TargetStandIn {
    /// Header with the service time of a request in microseconds.
    pub const WORK_HEADER: &'static str = "x-work-us";
    /// Header that names a request; the answer carries it back.
    pub const ID_HEADER: &'static str = "x-request-id";

    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn start(address: SocketAddr, slots: u32) -> io::Result<Arc<Self>> {
        let listener = Listener::bind(address, ListenerLimits::default()).await?;
        let target = Arc::new(Self {
            controls: Mutex::default(),
            record: Mutex::default(),
            slots: Arc::new(Semaphore::new(slots as usize)),
        });
        let handler = Arc::clone(&target);
        tokio::spawn(listener.serve(move |request, _| {
            let target = Arc::clone(&handler);
            async move { target.answer(request).await }
        }));
        Ok(target)
    }

    /// Changes how the target behaves.
    pub fn set_controls(&self, controls: TargetControls) {
        *lock(&self.controls) = controls;
    }

    /// Times that each idempotency key was run.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.record).runs.clone()
    }

    /// Most slots in use at a time, and requests shed.
    pub fn extremes(&self) -> (u32, u64) {
        let record = lock(&self.record);
        (record.most_busy, record.shed)
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        if request.uri().path() == HttpTargets::LOAD_PATH {
            let record = lock(&self.record);
            let (busy, queued) = (record.busy, record.queued);
            let body = format!(r#"{{"busy":{busy},"leaving":false,"queued":{queued}}}"#);
            return Response::new(full_body(body));
        }
        let controls = *lock(&self.controls);
        let Some(_slot) = self.take_slot(controls).await else {
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
            return response;
        };
        let _busy = Busy::new(self);
        self.run(request, controls).await
    }

    async fn take_slot(
        &self,
        controls: TargetControls,
    ) -> Option<tokio::sync::OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        {
            let mut record = lock(&self.record);
            if record.queued >= controls.queue {
                record.shed += 1;
                return None;
            }
            record.queued += 1;
        }
        let slot = Arc::clone(&self.slots).acquire_owned().await.ok();
        lock(&self.record).queued -= 1;
        slot
    }

    async fn run(&self, request: Request<Body>, controls: TargetControls) -> Response<Body> {
        let (head, mut body) = request.into_parts();
        let header = |name| {
            let value = head.headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let work: u64 = header(Self::WORK_HEADER).and_then(|v| v.parse().ok()).unwrap_or(1000);
        let id = header(Self::ID_HEADER);
        if let Some(key) = header("idempotency-key") {
            *lock(&self.record).runs.entry(key).or_default() += 1;
        }
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => received += frame.data_ref().map_or(0, bytes::Bytes::len),
                Err(_) => return Response::new(empty_body()),
            }
        }
        sleep(Duration::from_micros(work).mul_f64(controls.slowdown)).await;
        let mut response = Response::new(full_body(format!("received {received}\n")));
        if let Some(id) = id.and_then(|id| HeaderValue::try_from(id).ok()) {
            response.headers_mut().insert(Self::ID_HEADER, id);
        }
        response
    }
}

/// Counts a slot as busy until it is dropped, also when the request is cancelled.
struct Busy<'a>(&'a TargetStandIn);

impl<'a> Busy<'a> {
    fn new(target: &'a TargetStandIn) -> Self {
        let mut record = lock(&target.record);
        record.busy += 1;
        record.most_busy = record.most_busy.max(record.busy);
        Self(target)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        lock(&self.0.record).busy -= 1;
    }
}
