//! Stand-in for the platform's store: kinds of objects with one revision, lists and watches.

use crate::message::{Message, json_value, write_message};
use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

struct Event {
    deleted: bool,
    kind: String,
    object: String,
    revision: u64,
}

#[derive(Default)]
struct Objects {
    all: BTreeMap<(String, String), String>,
    events: Vec<Event>,
    revision: u64,
}

/// An open connection to the store.
pub struct StoreConnection {
    /// Kind and begin of the watch that it waits for.
    pub watch: Mutex<Option<(String, Instant)>>,
    /// Set once nothing passes on it any more, in either direction, without a reset.
    pub silent: AtomicBool,
}

impl StoreConnection {
    /// Holds the connection open and passes nothing on, if it is silent.
    fn hold_if_silent(&self) {
        while self.silent.load(Ordering::Relaxed) {
            thread::park();
        }
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    pub connections: Arc<Mutex<Vec<Arc<StoreConnection>>>>,
    state: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self { address, connections: Arc::default(), state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                // An error ends the connection only.
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator or a server does. Its return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        let mut objects = self.state.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
        );
        objects.all.insert((kind.to_owned(), name.to_owned()), object.clone());
        objects.events.push(Event { deleted: false, kind: kind.to_owned(), object, revision });
        self.state.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.state.0.lock().unwrap();
        let Some(object) = objects.all.remove(&(kind.to_owned(), name.to_owned())) else { return };
        objects.revision += 1;
        let revision = objects.revision;
        objects.events.push(Event { deleted: true, kind: kind.to_owned(), object, revision });
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let connection =
            Arc::new(StoreConnection { watch: Mutex::default(), silent: AtomicBool::default() });
        self.connections.lock().unwrap().push(Arc::clone(&connection));
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = Message::read(&mut reader)? {
            connection.hold_if_silent();
            let (status, body) = self.answer(&call, &connection);
            connection.hold_if_silent();
            let headers = "Content-Type: application/json\r\n";
            write_message(&stream, &format!("HTTP/1.1 {status}"), headers, &body)?;
        }
        Ok(())
    }

    fn answer(&self, call: &Message, connection: &StoreConnection) -> (&'static str, String) {
        let (method, target) = call.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/-/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let value = |key: &str| {
            let found = query.split('&').filter_map(|pair| pair.split_once('='));
            found.into_iter().find(|(k, _)| *k == key).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        if let ("GET", "", Some(since)) = (method, name, value("watch")) {
            let wait = Duration::from_millis(value("wait_ms").unwrap_or(0));
            *connection.watch.lock().unwrap() = Some((kind.to_owned(), Instant::now()));
            let events = self.watch(kind, since, wait);
            *connection.watch.lock().unwrap() = None;
            return ("200 OK", events);
        }
        let key = (kind.to_owned(), name.to_owned());
        let objects = self.state.0.lock().unwrap();
        match (method, name) {
            ("GET", "") => {
                let items = objects.all.iter().filter(|((k, _), _)| k == kind);
                let items: Vec<&str> = items.map(|(_, object)| object.as_str()).collect();
                let (items, as_of) = (items.join(","), objects.revision);
                ("200 OK", format!("{{\"items\":[{items}],\"more\":false,\"as_of\":{as_of}}}"))
            }
            ("GET", _) => match objects.all.get(&key) {
                Some(object) => ("200 OK", object.clone()),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("DELETE", _) => {
                drop(objects);
                self.remove(kind, name);
                ("200 OK", "{}".to_owned())
            }
            ("POST" | "PUT", _) => {
                let text = call.text();
                let metadata = json_value(&text, "metadata").unwrap_or("{}");
                let named = json_value(metadata, "name").unwrap_or("\"\"").trim_matches('"');
                let key = (kind.to_owned(), named.to_owned());
                let current = objects.all.get(&key).cloned();
                drop(objects);
                let expected = json_value(metadata, "revision");
                let revision_of = |object: &str| {
                    let metadata = json_value(object, "metadata")?;
                    json_value(metadata, "revision").map(str::to_owned)
                };
                match current {
                    Some(current) if method == "POST" => return ("409 Conflict", current),
                    Some(current)
                        if expected
                            .is_some_and(|r| revision_of(&current).as_deref() != Some(r)) =>
                    {
                        return ("409 Conflict", current);
                    }
                    None if method == "PUT" => return ("404 Not Found", "{}".to_owned()),
                    _ => {}
                }
                let part = |key| json_value(&text, key).unwrap_or("null");
                self.put(kind, named, part("spec"), part("status"));
                let stored = self.state.0.lock().unwrap().all.get(&key).cloned();
                ("200 OK", stored.unwrap_or_default())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    /// Waits for changes of a kind.
    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut objects = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = objects
                .events
                .iter()
                .filter(|event| event.revision > since && event.kind == kind)
                .map(|e| format!("{{\"deleted\":{},\"object\":{}}}", e.deleted, e.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), objects.revision);
                return format!("{{\"events\":[{events}],\"as_of\":{as_of}}}");
            }
            objects = self.state.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}
