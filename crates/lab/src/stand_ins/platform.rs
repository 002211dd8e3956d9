//! Stand-in for the platform, which serves the object API and the list of VMs.

use super::{platform_faults::PlatformFaults, platform_store::PlatformStore};
use adapters::{Listener, ListenerLimits, PlatformVmBody};
use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, Response, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER},
};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, BodyError, empty_body, full_body};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Maximum size of an object's value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Stand-in for the platform, which keeps its objects in memory and injects faults.
#[derive(Debug, Default)]
pub struct PlatformStandIn {
    changed: watch::Sender<u64>,
    faults: Mutex<PlatformFaults>,
    store: Mutex<PlatformStore>,
}

impl PlatformStandIn {
    /// Creates a stand-in without objects and VMs.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Serves the API at an address, and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = Listener::bind(address, ListenerLimits::default()).await?;
        let address = listener.address()?;
        let platform = Arc::clone(self);
        tokio::spawn(listener.serve(move |request, _| {
            let platform = Arc::clone(&platform);
            async move { platform.answer(request).await }
        }));
        Ok(address)
    }

    fn lock(&self) -> MutexGuard<'_, PlatformStore> {
        self.store.lock().expect("no holder of the platform's lock panics")
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.faults.lock().expect("no holder of the faults' lock panics") = faults;
        self.changed.send_modify(|_| {});
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> PlatformFaults {
        *self.faults.lock().expect("no holder of the faults' lock panics")
    }

    /// Writes an object as an operator would, regardless of its current version.
    pub fn put(&self, path: &str, value: &str, author: &str) -> u64 {
        let version = self.lock().put(path, Some(value), author);
        self.changed.send_replace(version);
        version
    }

    /// Deletes an object; the deletion creates a new version.
    pub fn delete(&self, path: &str, author: &str) -> u64 {
        let version = self.lock().put(path, None, author);
        self.changed.send_replace(version);
        version
    }

    /// Rolls back to the state at a revision.
    pub fn roll_back(&self, revision: u64) {
        self.lock().roll_back(revision);
        self.changed.send_replace(revision);
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<PlatformVmBody>) {
        self.lock().set_vms(vms);
    }

    /// Returns the number of calls so far by kind.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.lock().calls.clone()
    }

    /// Counts a call. Returns an error response if the platform is down or the rate limit is
    /// exceeded, or else `None`.
    fn check_admission(
        &self,
        kind: &'static str,
        faults: &PlatformFaults,
    ) -> Option<Response<Body>> {
        let mut store = self.lock();
        *store.calls.entry(kind).or_default() += 1;
        let admitted = match kind {
            "write" => store.admit_write(faults.write_rate),
            _ => store.admit_read(faults.read_rate),
        };
        if faults.outage {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if admitted {
            return None;
        }
        let mut response = status(StatusCode::TOO_MANY_REQUESTS);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        Some(response)
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let faults = self.faults();
        let path = request.uri().path().to_owned();
        let call = PlatformCall::parse(request.method(), &path);
        let Some(call) = call else { return status(StatusCode::NOT_FOUND) };
        sleep(faults.delay).await;
        if let Some(refusal) = self.check_admission(call.kind(), &faults) {
            return refusal;
        }
        match call {
            PlatformCall::History(path) => json(&self.lock().history(path)),
            PlatformCall::List(prefix) => json(&self.lock().changes(prefix, 0, faults.read_lag)),
            PlatformCall::Read(path) => self.read(path, &faults),
            PlatformCall::Vms => json(&self.lock().vms(faults.list_lag)),
            PlatformCall::Watch(prefix) => {
                let query = request.uri().query().unwrap_or_default().to_owned();
                self.watch(prefix, &query).await
            }
            PlatformCall::Write(path) => self.write(path, request, &faults).await,
        }
    }

    async fn watch(&self, prefix: &str, query: &str) -> Response<Body> {
        let number = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name));
            value.and_then(|v| v.parse().ok()).unwrap_or_default()
        };
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=")));
        let mut changed = self.changed.subscribe();
        let wait_for_change = timeout(wait, async {
            loop {
                let batch = self.lock().changes(prefix, after, Duration::ZERO);
                let rolled_back = batch.revision < after;
                if !batch.objects.is_empty() || rolled_back || self.faults().outage {
                    return;
                }
                if changed.changed().await.is_err() {
                    return;
                }
            }
        });
        drop(wait_for_change.await);
        let faults = self.faults();
        if faults.outage {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let from = if faults.repeat { 0 } else { after };
        let mut batch = self.lock().changes(prefix, from, Duration::ZERO);
        if faults.skip {
            batch.objects.clear();
        }
        json(&batch)
    }

    fn read(&self, path: &str, faults: &PlatformFaults) -> Response<Body> {
        let store = self.lock();
        let Some(object) = store.current(path, faults.read_lag) else {
            return status(StatusCode::NOT_FOUND);
        };
        let mut response = Response::new(full_body(object.value.clone().unwrap_or_default()));
        set_version(&mut response, object.version);
        response
    }

    async fn write(
        &self,
        path: &str,
        request: Request<Body>,
        faults: &PlatformFaults,
    ) -> Response<Body> {
        let (head, body) = request.into_parts();
        let header = |name| {
            let value = head.headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let author = header(http::HeaderName::from_static("x-author")).unwrap_or_default();
        let if_match = header(IF_MATCH).and_then(|v| v.trim_matches('"').parse::<u64>().ok());
        let if_absent = header(IF_NONE_MATCH).is_some();
        let Ok(body) = body.collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let bytes = body.to_bytes();
        if bytes.len() > MAX_VALUE_BYTES {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let Ok(value) = std::str::from_utf8(&bytes) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let expected = if if_absent { None } else { if_match };
        let mut store = self.lock();
        let current = store.current(path, Duration::ZERO).map(|object| object.version);
        if current != expected {
            let mut response = status(StatusCode::PRECONDITION_FAILED);
            if let Some(version) = current {
                set_version(&mut response, version);
            }
            return response;
        }
        let version = store.put(path, Some(value), &author);
        let writes = store.calls.get("write").copied().unwrap_or_default();
        drop(store);
        self.changed.send_replace(version);
        if faults.lose_every > 0 && writes.is_multiple_of(faults.lose_every) {
            return Response::new(failing_body());
        }
        let mut response = status(StatusCode::OK);
        set_version(&mut response, version);
        response
    }
}

/// A call of the platform's API.
enum PlatformCall<'a> {
    History(&'a str),
    List(&'a str),
    Read(&'a str),
    Vms,
    Watch(&'a str),
    Write(&'a str),
}

impl<'a> PlatformCall<'a> {
    fn parse(method: &Method, path: &'a str) -> Option<Self> {
        let path = path.strip_prefix("/v1/")?;
        if path == "vms" {
            return Some(Self::Vms);
        }
        let (kind, rest) = path.split_once('/')?;
        match (kind, method) {
            ("history", _) => Some(Self::History(rest)),
            ("list", _) => Some(Self::List(rest)),
            ("objects", &Method::GET) => Some(Self::Read(rest)),
            ("objects", &Method::PUT) => Some(Self::Write(rest)),
            ("watch", _) => Some(Self::Watch(rest)),
            _ => None,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::History(_) => "history",
            Self::List(_) => "list",
            Self::Read(_) => "read",
            Self::Vms => "vms",
            Self::Watch(_) => "watch",
            Self::Write(_) => "write",
        }
    }
}

/// Creates a body that fails before its end.
fn failing_body() -> Body {
    let error = BodyError { reason: "response dropped by fault injection".to_owned() };
    let frames = futures_util::stream::iter([Err::<Frame<Bytes>, BodyError>(error)]);
    StreamBody::new(frames).boxed_unsync()
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = code;
    response
}

fn json(value: &impl serde::Serialize) -> Response<Body> {
    serde_json::to_string(value)
        .map_or_else(|_| status(StatusCode::INTERNAL_SERVER_ERROR), |t| Response::new(full_body(t)))
}

fn set_version(response: &mut Response<Body>, version: u64) {
    if let Ok(tag) = http::HeaderValue::try_from(format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
}
