//! Stand-in for the users' object store, with fault injection.

use adapters::{Listener, ListenerLimits};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Body, empty_body, full_body};
use tokio::{sync::watch, task::JoinHandle, time::timeout};

/// Path prefix of all objects.
const OBJECTS_PATH: &str = "/-/objects/";

/// Fault injected into the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// Responds 503 without executing the call.
    Busy,
    /// Executes writes but never responds to them.
    LosesAnswers,
    /// No fault.
    #[default]
    None,
    /// Accepts connections but never responds.
    Silent,
    /// Responds 429 without executing the call.
    TooMany,
}

#[derive(Debug, Default)]
struct StoredObjects {
    calls: u64,
    events: Vec<(u64, String, Value, bool)>,
    fault: StoreFault,
    /// Last revision whose changes were discarded by compaction.
    compacted: u64,
    objects: BTreeMap<(String, String), Value>,
    revision: u64,
}

/// Stand-in for the object store, which keeps objects in memory by kind and name and serves the
/// published protocol.
#[derive(Clone, Debug)]
pub struct ObjectStore {
    changed: watch::Sender<u64>,
    page_size: usize,
    state: Arc<Mutex<StoredObjects>>,
}

impl Default for ObjectStore {
    fn default() -> Self {
        Self { changed: watch::Sender::new(0), page_size: 2, state: Arc::default() }
    }
}

impl ObjectStore {
    fn lock(&self) -> MutexGuard<'_, StoredObjects> {
        self.state.lock().expect("no holder of the store's lock panics")
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Discards the history of changes, so that a watch from an earlier revision gets status 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
        state.events.clear();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes an object with its status, as the operator or a target would.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        let metadata = json!({ "name": name, "finalizers": [], "deleting": false });
        let mut object = json!({ "metadata": metadata });
        object["spec"] = spec;
        object["status"] = status;
        self.store(kind, name, object);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), object, true));
        drop(state);
        self.changed.send_replace(revision);
    }

    fn store(&self, kind: &str, name: &str, mut object: Value) -> Value {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        object["metadata"]["revision"] = revision.into();
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        state.events.push((revision, kind.to_owned(), object.clone(), false));
        drop(state);
        self.changed.send_replace(revision);
        object
    }

    /// Serves the store at an address until the task is aborted.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<(SocketAddr, JoinHandle<()>)> {
        let listener = Listener::bind(address, ListenerLimits::default()).await?;
        let address = listener.address()?;
        let store = self.clone();
        let task = tokio::spawn(listener.serve(move |request, _| {
            let store = store.clone();
            async move { store.answer(request).await }
        }));
        Ok((address, task))
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let fault = {
            let mut state = self.lock();
            state.calls += 1;
            state.fault
        };
        let writes = request.method() != Method::GET;
        match fault {
            StoreFault::Busy => return reply(StatusCode::SERVICE_UNAVAILABLE, None),
            StoreFault::Silent => return pending().await,
            StoreFault::TooMany => return reply(StatusCode::TOO_MANY_REQUESTS, None),
            StoreFault::LosesAnswers | StoreFault::None => {}
        }
        let answer = self.execute(request).await;
        if writes && fault == StoreFault::LosesAnswers {
            return pending().await;
        }
        answer
    }

    async fn execute(&self, request: Request<Body>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().strip_prefix(OBJECTS_PATH).unwrap_or_default();
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let query = head.uri.query().unwrap_or_default();
        let body = body.collect().await.map(http_body_util::Collected::to_bytes);
        let body = body.ok().and_then(|bytes| serde_json::from_slice(&bytes).ok());
        match (&head.method, name, body) {
            (&Method::GET, None, _) => self.read(kind, query).await,
            (&Method::GET, Some(name), _) => self.get(kind, name),
            (&Method::POST, None, Some(object)) => self.create(kind, object),
            (&Method::PUT, Some(name), Some(object)) => self.replace(kind, name, object),
            (&Method::DELETE, Some(name), _) => {
                self.remove(kind, name);
                reply(StatusCode::OK, Some(json!({})))
            }
            _ => reply(StatusCode::BAD_REQUEST, None),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        match self.lock().objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => reply(StatusCode::OK, Some(object.clone())),
            None => reply(StatusCode::NOT_FOUND, None),
        }
    }

    fn create(&self, kind: &str, object: Value) -> Response<Body> {
        let name = object["metadata"]["name"].as_str().unwrap_or_default().to_owned();
        let current = self.lock().objects.get(&(kind.to_owned(), name.clone())).cloned();
        match current {
            Some(current) => reply(StatusCode::CONFLICT, Some(current)),
            None => reply(StatusCode::OK, Some(self.store(kind, &name, object))),
        }
    }

    fn replace(&self, kind: &str, name: &str, mut object: Value) -> Response<Body> {
        let current = self.lock().objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let Some(current) = current else { return reply(StatusCode::NOT_FOUND, None) };
        let expected = object["metadata"]["revision"].as_u64();
        if expected
            .is_some_and(|expected| Some(expected) != current["metadata"]["revision"].as_u64())
        {
            return reply(StatusCode::CONFLICT, Some(current));
        }
        object["status"] = current["status"].clone();
        reply(StatusCode::OK, Some(self.store(kind, name, object)))
    }

    async fn read(&self, kind: &str, query: &str) -> Response<Body> {
        let value = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find_map(|(k, v)| (k == key).then_some(v))
        };
        let Some(since) = value("watch").and_then(|v| v.parse().ok()) else {
            return self.list(kind, value("after").unwrap_or_default());
        };
        let wait = value("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut changed = self.changed.subscribe();
        let answer = async {
            loop {
                if let Some(answer) = self.events(kind, since) {
                    return answer;
                }
                if changed.changed().await.is_err() {
                    return reply(StatusCode::SERVICE_UNAVAILABLE, None);
                }
            }
        };
        timeout(Duration::from_millis(wait), answer).await.unwrap_or_else(|_| {
            reply(StatusCode::OK, Some(json!({ "as_of": self.lock().revision, "events": [] })))
        })
    }

    fn list(&self, kind: &str, after: &str) -> Response<Body> {
        let state = self.lock();
        let mut names = state.objects.iter().filter(|((k, name), _)| k == kind && **name > *after);
        let items: Vec<&Value> =
            names.by_ref().take(self.page_size).map(|(_, object)| object).collect();
        let more = names.next().is_some();
        let page = json!({ "as_of": state.revision, "items": items, "more": more });
        reply(StatusCode::OK, Some(page))
    }

    /// Returns the changes since a revision, or `None` if there are none.
    fn events(&self, kind: &str, since: u64) -> Option<Response<Body>> {
        let state = self.lock();
        if since < state.compacted {
            return Some(reply(StatusCode::GONE, None));
        }
        let events = state.events.iter().filter(|(revision, k, ..)| *revision > since && k == kind);
        let to_event = |(_, _, object, deleted): &(u64, String, Value, bool)| json!({ "object": object, "deleted": deleted });
        let events: Vec<Value> = events.map(to_event).collect();
        if events.is_empty() {
            return None;
        }
        Some(reply(StatusCode::OK, Some(json!({ "as_of": state.revision, "events": events }))))
    }
}

fn reply(status: StatusCode, body: Option<Value>) -> Response<Body> {
    let body = body.map_or_else(empty_body, |value| full_body(value.to_string()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
