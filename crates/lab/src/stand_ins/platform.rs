//! The platform's object API and VM list, held in memory.

use adapters::{Listener, ListenerLimits, PlatformBatch, PlatformObjectBody, PlatformVmBody};
use http::{
    Method, Request, Response, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};
use http_body_util::BodyExt;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, empty_body, full_body};
use tokio::{sync::watch, time::timeout};

/// Largest value in bytes.
const MAX_VALUE: usize = 1 << 20;

#[derive(Debug, Default)]
struct Store {
    calls: BTreeMap<&'static str, u64>,
    objects: BTreeMap<String, Vec<PlatformObjectBody>>,
    revision: u64,
    vms: Vec<PlatformVmBody>,
}

impl Store {
    fn current(&self, path: &str) -> Option<&PlatformObjectBody> {
        self.objects.get(path)?.last().filter(|object| object.value.is_some())
    }

    fn changes(&self, prefix: &str, after: u64) -> PlatformBatch {
        let newest = self.objects.range(prefix.to_owned()..);
        let objects = newest
            .take_while(|(path, _)| path.starts_with(prefix))
            .filter_map(|(_, versions)| versions.last())
            .filter(|object| object.version > after)
            .cloned()
            .collect();
        PlatformBatch { objects, revision: self.revision }
    }
}

/// The platform in memory.
#[derive(Debug, Default)]
pub struct PlatformStandIn {
    changed: watch::Sender<u64>,
    store: Mutex<Store>,
}

impl PlatformStandIn {
    /// Makes an empty platform.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Serves the API at an address.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let listener = Listener::bind(address, ListenerLimits::default()).await?;
        let platform = Arc::clone(self);
        tokio::spawn(listener.serve(move |request, _| {
            let platform = Arc::clone(&platform);
            async move { platform.answer(request).await }
        }));
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder of the platform's lock panics")
    }

    /// Writes an object as an operator would, whatever stands there.
    pub fn put(&self, path: &str, value: &str, author: &str) -> u64 {
        let mut store = self.lock();
        store.revision += 1;
        let version = store.revision;
        let object = PlatformObjectBody {
            author: author.to_owned(),
            path: path.to_owned(),
            time: String::new(),
            value: Some(value.to_owned()),
            version,
        };
        store.objects.entry(path.to_owned()).or_default().push(object);
        drop(store);
        self.changed.send_replace(version);
        version
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<PlatformVmBody>) {
        self.lock().vms = vms;
    }

    /// Calls so far, by kind.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.lock().calls.clone()
    }

    fn note(&self, kind: &'static str) {
        *self.lock().calls.entry(kind).or_default() += 1;
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        if path == "/v1/vms" {
            self.note("vms");
            return json(&self.lock().vms);
        }
        if let Some(prefix) = path.strip_prefix("/v1/list/") {
            self.note("list");
            return json(&self.lock().changes(prefix, 0));
        }
        if let Some(prefix) = path.strip_prefix("/v1/watch/") {
            self.note("watch");
            return json(&self.watch(prefix, &query).await);
        }
        if let Some(path) = path.strip_prefix("/v1/history/") {
            self.note("history");
            let store = self.lock();
            let objects = store.objects.get(path).into_iter().flatten().rev().cloned().collect();
            return json(&PlatformBatch { objects, revision: store.revision });
        }
        match (request.method(), path.strip_prefix("/v1/objects/")) {
            (&Method::GET, Some(path)) => {
                self.note("read");
                self.read(path)
            }
            (&Method::PUT, Some(path)) => {
                self.note("write");
                self.write(path, request).await
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, prefix: &str, query: &str) -> PlatformBatch {
        let number = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name));
            value.and_then(|v| v.parse().ok()).unwrap_or_default()
        };
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=")));
        let mut changed = self.changed.subscribe();
        let found = timeout(wait, async {
            loop {
                let batch = self.lock().changes(prefix, after);
                if !batch.objects.is_empty() || changed.changed().await.is_err() {
                    return batch;
                }
            }
        });
        found.await.unwrap_or_else(|_| self.lock().changes(prefix, after))
    }

    fn read(&self, path: &str) -> Response<Body> {
        let store = self.lock();
        let Some(object) = store.current(path) else { return status(StatusCode::NOT_FOUND) };
        let mut response = Response::new(full_body(object.value.clone().unwrap_or_default()));
        set_version(&mut response, object.version);
        response
    }

    async fn write(&self, path: &str, request: Request<Body>) -> Response<Body> {
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
        if bytes.len() > MAX_VALUE {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let Ok(value) = std::str::from_utf8(&bytes) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let current = self.lock().current(path).map(|object| object.version);
        let expected = if if_absent { None } else { if_match };
        if current != expected {
            let mut response = status(StatusCode::PRECONDITION_FAILED);
            if let Some(version) = current {
                set_version(&mut response, version);
            }
            return response;
        }
        let version = self.put(path, value, &author);
        let mut response = status(StatusCode::OK);
        set_version(&mut response, version);
        response
    }
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
