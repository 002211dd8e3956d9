//! Router processes, the operator's configuration, and clients.

use crate::{
    message::{Message, write_message},
    record::{Outcome, Record, Request},
    store::Store,
};
use std::{
    env, fs,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

/// Zones with their regions, as on a small deployment.
pub const ZONES: [(&str, &str); 3] =
    [("osijek-a", "slavonija"), ("beli-manastir", "baranja"), ("vukovar-a", "srijem")];
/// Bounds of the site vodni-red.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
pub const GRACE: Duration = Duration::from_secs(6);
pub const HOST: &str = "jepu9.example";

pub struct Router {
    pub callers: SocketAddr,
    directory: SocketAddr,
    pub process: Mutex<Child>,
    ready: SocketAddr,
}

pub struct Fleet {
    folder: PathBuf,
    pub record: Arc<Record>,
    pub routers: Vec<Router>,
    pub store: Store,
}

/// Returns an unused loopback address. Each call has its own IP address, so that no outgoing
/// connection takes the port meanwhile.
fn free_address() -> io::Result<SocketAddr> {
    static CALLS: AtomicU32 = AtomicU32::new(1);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let ip = [127, 77, (std::process::id() % 250) as u8, call as u8];
    TcpListener::bind(SocketAddr::from((ip, 0)))?.local_addr()
}

impl Fleet {
    /// Starts one router in each zone, with the command of the deploy file.
    pub fn start(store: &Store, record: &Arc<Record>) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet =
            Self { folder, record: Arc::clone(record), routers: Vec::new(), store: store.clone() };
        let peers: Vec<SocketAddr> =
            ZONES.iter().map(|_| free_address()).collect::<io::Result<_>>()?;
        for number in 0..ZONES.len() {
            let router = fleet.start_router(number, &peers)?;
            fleet.routers.push(router);
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn start_router(&self, number: usize, peers: &[SocketAddr]) -> io::Result<Router> {
        let (zone, region) = ZONES[number];
        let zones = ZONES.map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).join(",");
        let seeds: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let [callers, directory, metrics, ready] =
            [free_address()?, free_address()?, free_address()?, free_address()?];
        let (peer, seeds, store) = (peers[number], seeds.join(","), self.store.address);
        let settings = format!(
            "{{\"name\":\"front-{zone}-1\",\"zone\":\"{zone}\",\"region\":\"{region}\",\
             \"zones\":{{{zones}}},\"callers\":\"{callers}\",\"ready\":\"{ready}\",\
             \"directory\":\"{directory}\",\"metrics\":\"{metrics}\",\"peers\":\"{peer}\",\
             \"seeds\":[{seeds}],\"store\":\"{store}\",\"cores\":1,\"cpu_share\":0.2,\
             \"descriptors\":4100,\"bootstrap\":true,\"grace_s\":6,\"apply_s\":2,\"drain_s\":2,\
             \"evacuate_s\":5,\"cold_factor\":1.5,\"cold_burst\":5,\"max_shift\":0.15}}"
        );
        let file = self.folder.join(format!("router-{number}.jsonc"));
        fs::write(&file, settings)?;
        let log = fs::File::create(self.folder.join(format!("router-{number}.log")))?;
        let process = Command::new("target/release/ragwortswitch")
            .arg("router")
            .env("RAGWORTSWITCH_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Router { callers, directory, process: Mutex::new(process), ready })
    }

    /// Waits until all routers are ready and know the others.
    fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let all = self.routers.len();
        while Instant::now() < until {
            let ready = |router: &Router| {
                let request = "GET /-/ready HTTP/1.1";
                exchange(router.ready, request).is_ok_and(|answer| answer.status() == 200)
            };
            let is_whole = |router: &Router| {
                // Each zone has one router, so a router names that of another zone once it knows it.
                ZONES.iter().enumerate().all(|(number, (zone, region))| {
                    let found = resolve(router.directory, zone, region);
                    found.is_some_and(|found| found == [self.routers[number].callers])
                })
            };
            if self.routers.iter().filter(|router| ready(router) && is_whole(router)).count() == all
            {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the routers aren't ready after 20 s"))
    }

    /// Returns the router that a client of a zone uses, as the directory says.
    pub fn find_router(&self, zone: usize) -> Option<usize> {
        let (name, region) = ZONES[zone];
        let nearest = (0..ZONES.len()).map(|step| (zone + step) % ZONES.len());
        let found = nearest.into_iter().find_map(|number| {
            resolve(self.routers[number].directory, name, region).filter(|found| !found.is_empty())
        })?;
        self.routers.iter().position(|router| router.callers == found[0])
    }

    pub fn signal(&self, router: usize, name: &str) {
        let id = self.routers[router].process.lock().unwrap().id();
        self.record.note(format!("platform: SIG{name} to router {router}"));
        let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
    }

    /// Whether no router has ended by itself.
    pub fn all_run(&self) -> bool {
        let ended =
            |router: &Router| !matches!(router.process.lock().unwrap().try_wait(), Ok(None));
        !self.routers.iter().any(ended)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in &self.routers {
            let mut process = router.process.lock().unwrap();
            let _ = process.kill();
            let _ = process.wait();
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn exchange(address: SocketAddr, first: &str) -> io::Result<Message> {
    let wait = Duration::from_secs(1);
    let stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_read_timeout(Some(wait))?;
    write_message(&stream, first, "Host: any\r\nConnection: close\r\n", "")?;
    let message = Message::read(&mut BufReader::new(stream))?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Asks a directory which addresses a client should use.
fn resolve(directory: SocketAddr, zone: &str, region: &str) -> Option<Vec<SocketAddr>> {
    let first = format!("GET /-/resolve?name={HOST}&region={region}&zone={zone} HTTP/1.1");
    let answer = exchange(directory, &first).ok().filter(|answer| answer.status() == 200)?;
    let text = answer.text();
    let (_, list) = text.split_once('[')?;
    let list = list.split_once(']')?.0.split(',');
    Some(list.filter_map(|address| address.trim_matches('"').parse().ok()).collect())
}

/// A client with one kept connection.
pub struct Client<'a> {
    fleet: &'a Fleet,
    name: String,
    router: usize,
    sent: u32,
    stream: Option<BufReader<TcpStream>>,
}

impl<'a> Client<'a> {
    pub fn new(fleet: &'a Fleet, name: impl Into<String>, router: usize) -> Self {
        Self { fleet, name: name.into(), router, sent: 0, stream: None }
    }

    /// Sends a request and waits for its answer. Each attempt has its own id.
    pub fn send(&mut self, method: &str, path: &str, deadline: Duration, body: &str) -> Outcome {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let at = Instant::now();
        let outcome = self.exchange(method, path, deadline, body, &id);
        let is_closed = !matches!(outcome, Outcome::Answer { .. });
        if is_closed {
            self.stream = None;
        }
        self.fleet.record.request(Request {
            at,
            ended: Instant::now(),
            id,
            outcome: outcome.clone(),
            path: path.to_owned(),
            router: self.router,
        });
        outcome
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        deadline: Duration,
        body: &str,
        id: &str,
    ) -> Outcome {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let address = self.fleet.routers[self.router].callers;
                match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                    Ok(stream) => BufReader::new(stream),
                    Err(_) => return Outcome::Unreached,
                }
            }
        };
        let mut stream = stream;
        let ms = deadline.as_millis();
        let headers = format!("Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {ms}\r\n");
        let socket = stream.get_ref();
        let begun = socket
            .set_nodelay(true)
            .and_then(|()| socket.set_read_timeout(Some(deadline)))
            .and_then(|()| {
                write_message(socket, &format!("{method} {path} HTTP/1.1"), &headers, body)
            });
        if begun.is_err() {
            return Outcome::Closed;
        }
        match Message::read(&mut stream) {
            Ok(Some(answer)) => {
                if answer.header("connection") != "close" {
                    self.stream = Some(stream);
                }
                Outcome::Answer {
                    status: answer.status(),
                    stamped: !answer.header("response-stamp").is_empty(),
                    text: answer.text(),
                }
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Outcome::NoAnswer
            }
            Ok(None) | Err(_) => Outcome::Closed,
        }
    }
}

/// A route of the configuration.
pub struct Route {
    pub attempts: u32,
    pub kind: &'static str,
    pub name: &'static str,
    pub service: &'static str,
    /// In seconds; uploads have none.
    pub timeout: Option<f64>,
}

/// Writes a configuration; its return is the acknowledgement.
pub fn configure(store: &Store, version: u32, routes: &[Route]) {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { attempts, kind, name, service, timeout } = route;
            let timeout = timeout.map(|s| format!("\"timeout_s\":{s},")).unwrap_or_default();
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
                 \"kind\":\"{kind}\",{timeout}\"target_latency_s\":1.5,\
                 \"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\
                 \"sticky\":false,\"home_regions\":[]}}"
            )
        })
        .collect();
    let services = ["kalendar", "redoslijed", "arhiva"].map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":390,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":2.8}}"
        )
    });
    let spec = format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        routes.join(","),
        services.join(",")
    );
    store.put("config", "main", &spec, "null");
}
