//! Runs `ragwortswitch router` as a process against stand-ins for the store and targets.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, Listener, ListenerLimits};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use lab::ObjectStore;
use serde_json::{Value, json};
use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};
use steer::{Body, empty_body, full_body};
use tokio::time::{Instant, sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(10);
/// The caller's `traceparent`.
const TRACE: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
const WORK_TIME: Duration = Duration::from_millis(600);

/// Returns an unused loopback address. Each call uses its own IP address, so that no connection of
/// another test can take the port.
fn free_address() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind((Ipv4Addr::new(127, 0, call, 6), 0)).unwrap().local_addr().unwrap()
}

/// Starts a target that responds with its name after [`WORK_TIME`].
async fn start_target(name: &'static str) -> SocketAddr {
    start_slow_target(name, WORK_TIME).await
}

/// Starts a target that takes some time for each request.
async fn start_slow_target(name: &'static str, time: Duration) -> SocketAddr {
    let listener =
        Listener::bind("127.0.0.1:0".parse().unwrap(), ListenerLimits::default()).await.unwrap();
    let address = listener.address().unwrap();
    tokio::spawn(listener.serve(move |request: Request<Body>, _| async move {
        let headers = request.headers().clone();
        if headers.get("expect-instance").is_some_and(|expected| expected != name) {
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return response;
        }
        sleep(time).await;
        let mut response = Response::new(full_body(name));
        response.headers_mut().insert("response-stamp", "3e1b.07".parse().unwrap());
        if let Some(id) = headers.get("request-id") {
            response.headers_mut().insert("request-id", id.clone());
        }
        response
    }));
    address
}

struct TestRouter {
    callers: SocketAddr,
    directory: SocketAddr,
    file: PathBuf,
    metrics: SocketAddr,
    pool: Arc<ConnectionPool>,
    process: Child,
    ready: SocketAddr,
    store: ObjectStore,
}

impl Drop for TestRouter {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.file);
        let _ = fs::remove_file(self.file.with_extension("spans"));
    }
}

fn configuration(version: &str, service: &str) -> Value {
    let route = json!({ "name": "r-1", "host": "a.example", "path_prefix": "/", "kind": "safe",
                        "timeout_s": 5, "attempts": 2, "service": service });
    json!({ "version": version, "routes": [route], "services": [], "limits": {} })
}

fn register(store: &ObjectStore, name: &str, service: &str, address: SocketAddr, state: &str) {
    let info = json!({ "service": service, "version": "v1", "zone": "lis-a", "slots": 7 });
    let status = json!({ "state": state, "seq_no": 1, "cold_remaining_s": 0 });
    store.put("servers", name, json!({ "address": address, "info": info }), status);
}

impl TestRouter {
    async fn start(test: &str) -> Self {
        Self::start_with_grace(test, 6).await
    }

    /// Starts a router that is given some seconds to stop.
    async fn start_with_grace(test: &str, seconds: u32) -> Self {
        let store = ObjectStore::default();
        let (store_address, _) = store.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let [callers, directory, metrics, peers, ready] = [(); 5].map(|()| free_address());
        let file = env::temp_dir().join(format!("router-{test}-{}.jsonc", std::process::id()));
        let traces = file.with_extension("spans");
        let settings = json!({
            "callers": callers, "cold_burst": 5, "cold_factor": 1.5, "cores": 1,
            "cpu_share": 0.2, "descriptors": 1024, "directory": directory,
            "grace_s": seconds, "max_shift": 0.15, "metrics": metrics, "name": "entry-1", "peers": peers, "ready": ready,
            "region": "lisboa", "seeds": [], "store": store_address, "zone": "lis-a",
            "traces": { "output": { "file": traces }, "ratio": 1 },
            "zones": { "lis-a": "lisboa" },
        });
        fs::write(&file, format!("// Written by a test.\n{settings}")).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_ragwortswitch"))
            .arg("router")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let pool = ConnectionPool::new();
        let router = Self { callers, directory, file, metrics, pool, process, ready, store };
        router.wait_for(router.ready, "/-/ready", "503 ").await;
        router
    }

    async fn get(&self, address: SocketAddr, path: &str) -> String {
        let request = Request::get(path).header("host", "a.example").header("request-id", "9c41");
        let request = request.header("traceparent", TRACE);
        let request = request.body(empty_body()).unwrap();
        let Ok(response) = self.pool.send(address, request).await else {
            return "no answer".to_owned();
        };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        format!("{status} {}", std::str::from_utf8(&body).unwrap())
    }

    /// Repeats a request until the response starts as expected, and panics after [`TIMEOUT`].
    async fn wait_for(&self, address: SocketAddr, path: &str, answer: &str) {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < TIMEOUT {
            last = self.get(address, path).await;
            if last.starts_with(answer) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("{path}: expected {answer:?}, got {last:?}");
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap().success());
    }
}

#[tokio::test]
async fn uses_the_newest_configuration_and_leaves_draining_targets() {
    let router = TestRouter::start("serves").await;
    assert!(router.get(router.callers, "/x").await.starts_with("503 "), "nothing is known yet");
    let (first, second) = (start_target("i-1").await, start_target("i-2").await);
    register(&router.store, "i-1", "briefs", first, "ready");
    register(&router.store, "i-2", "media", second, "ready");
    router.store.put("config", "main", configuration("00000003", "briefs"), Value::Null);
    router.wait_for(router.callers, "/x", "200 i-1").await;
    router.wait_for(router.ready, "/-/ready", "200 ").await;
    router.wait_for(router.metrics, "/metrics", "200 ragwortswitch_callers_connections ").await;
    let metrics = router.get(router.metrics, "/metrics").await;
    for line in ["ragwortswitch_settings_version 3\n", "ragwortswitch_targets_known 2\n"] {
        assert!(metrics.contains(line), "{line}: {metrics}");
    }
    let directory =
        router.get(router.directory, "/-/resolve?name=a.example&region=lisboa&zone=lis-a");
    let directory = directory.await;
    assert!(directory.contains(&router.callers.to_string()), "{directory}");
    router.store.put("config", "main", configuration("0000000a", "media"), Value::Null);
    router.wait_for(router.callers, "/x", "200 i-2").await;
    router.store.put("config", "main", configuration("00000007", "briefs"), Value::Null);
    register(&router.store, "i-3", "media", first, "ready");
    register(&router.store, "i-2", "media", second, "draining");
    // The address of i-3 belongs to i-1, which rejects the request as misdirected.
    router.wait_for(router.callers, "/x", "503 ").await;
}

#[tokio::test]
async fn sighup_changes_nothing_and_sigterm_lets_requests_finish() {
    let mut router = TestRouter::start("stops").await;
    let target = start_target("i-1").await;
    register(&router.store, "i-1", "briefs", target, "ready");
    router.store.put("config", "main", configuration("00000003", "briefs"), Value::Null);
    router.wait_for(router.callers, "/x", "200 i-1").await;
    router.signal("HUP");
    router.wait_for(router.callers, "/x", "200 i-1").await;
    let during = {
        let running = router.get(router.callers, "/x");
        let stop = async {
            sleep(WORK_TIME / 3).await;
            router.signal("TERM");
        };
        tokio::join!(running, stop).0
    };
    assert_eq!(during, "200 i-1");
    router.wait_for(router.ready, "/-/ready", "503 ").await;
    assert_eq!(router.get(router.callers, "/x").await, "200 i-1", "late callers are served");
    let ended = timeout(TIMEOUT, async {
        loop {
            if let Some(status) = router.process.try_wait().unwrap() {
                return status;
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(ended.await.unwrap().code(), Some(0));
    let spans = fs::read_to_string(router.file.with_extension("spans")).unwrap();
    let span: Value = serde_json::from_str(spans.lines().last().unwrap()).unwrap();
    assert_eq!(span["trace"], TRACE[3..35], "the caller's trace goes on");
    assert_eq!(span["parent"], TRACE[36..52]);
    assert_eq!(span["notes"]["status"], "200");
}

/// A planned stop with 4 s, and requests that take 2.5 s.
#[tokio::test]
async fn a_request_that_can_not_end_before_the_process_is_refused_at_once() {
    let router = TestRouter::start_with_grace("late", 4).await;
    let target = start_slow_target("i-1", Duration::from_millis(2_500)).await;
    register(&router.store, "i-1", "briefs", target, "ready");
    router.store.put("config", "main", configuration("00000003", "briefs"), Value::Null);
    router.wait_for(router.ready, "/-/ready", "200 ").await;
    router.wait_for(router.callers, "/warm", "200 ").await;
    let early = router.get(router.callers, "/early");
    let late = async {
        sleep(Duration::from_millis(200)).await;
        router.signal("TERM");
        sleep(Duration::from_millis(1_500)).await;
        let started = Instant::now();
        let answer = router.get(router.callers, "/late").await;
        (answer, started.elapsed())
    };
    let (early, (late, time)) = tokio::join!(early, late);
    assert!(early.starts_with("200 "), "{early}");
    assert!(late.starts_with("503 ") && late.contains("not-run"), "{late}");
    assert!(time < Duration::from_secs(2), "{time:?}");
}
