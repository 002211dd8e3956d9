//! A simulated region of entry VMs, whose fake ports share a random seed and a history.

use super::{
    faulty_targets::FaultyTargets,
    history::{ObservedReply, RequestHistory},
    lossy_peers::LossyPeers,
    lossy_platform::LossyPlatform,
};
use http::Request;
use http_body_util::BodyExt;
use jiff::Timestamp;
use quickcheck::{Arbitrary, Gen};
use std::{
    collections::BTreeSet,
    fmt::{self, Debug, Formatter},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{
    Clock, EntryNode, EntryPorts, EntryVm, NoMeter, NoTracer, Origin, Outcome, PoolKey, Serving,
    SettingsDocument, SettingsPath, Vm, VmAddresses, full_body, serve_request, share_suspects,
};
use tokio::time::{Instant, sleep};

/// Faults to inject; the numbers are probabilities in percent. With `split`, the VMs know no peers;
/// with `silent`, they share no suspects; with `zones`, VMs and targets are divided between two
/// zones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) lost: u8,
    pub(crate) paused: u8,
    pub(crate) refused: u8,
    pub(crate) reset: u8,
    pub(crate) silent: bool,
    pub(crate) split: bool,
    pub(crate) zones: bool,
}

/// The state that the fake ports share.
pub(crate) struct PromiseSimulation {
    pub(crate) crashed: Mutex<BTreeSet<usize>>,
    pub(crate) faults: Faults,
    pub(crate) history: Mutex<RequestHistory>,
    pub(crate) clock_jumps: Mutex<Vec<Duration>>,
    pub(crate) nodes: Mutex<Vec<Arc<EntryNode>>>,
    pub(crate) platform: Mutex<super::lossy_platform::PlatformState>,
    random: Mutex<Gen>,
    start: Instant,
}

impl Debug for PromiseSimulation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("PromiseSimulation").finish_non_exhaustive()
    }
}

/// A VM's wall clock, which jumps when the VM is paused.
#[derive(Debug)]
struct FakeClock {
    vm: usize,
    simulation: Arc<PromiseSimulation>,
}

impl Clock for FakeClock {
    fn now(&self) -> Timestamp {
        let jump = self.simulation.clock_jumps.lock().unwrap()[self.vm];
        Timestamp::UNIX_EPOCH + self.simulation.start.elapsed() + jump
    }
}

const FLEET: &str = r#"{ "fleet": "test", "regions": { "r": { "delay_ms": 1, "zones": ["y", "z"] } },
    "teams": { "payouts": { "max_shift": 1, "services": ["payouts"] } } }"#;
const TEAM: &str = r#"{ "services": { "payouts": { "hosts": ["payouts"],
    "classes": {
        "approve": { "deadline_ms": 5000, "matches": [{ "path": "/approvals" }],
            "repeat": "at-most-once", "max_body": 1000 },
        "read": { "deadline_ms": 5000, "matches": [{ "path": "/read" }], "repeat": "idempotent" } },
    "targets": {
        "t1": { "address": "10.0.0.1:1", "slots": 4, "zone": "z" },
        "t2": { "address": "10.0.0.2:1", "slots": 4, "zone": "z" },
        "t3": { "address": "10.0.0.3:1", "slots": 4, "zone": "z" },
        "t4": { "address": "10.0.0.4:1", "slots": 4, "zone": "z" } } } } }"#;

impl PromiseSimulation {
    pub(crate) fn new(seed: u64, vms: usize, faults: Faults) -> Arc<Self> {
        Arc::new(Self {
            crashed: Mutex::default(),
            faults,
            history: Mutex::default(),
            clock_jumps: Mutex::new(vec![Duration::ZERO; vms]),
            nodes: Mutex::default(),
            platform: Mutex::default(),
            random: Mutex::new(Gen::from_size_and_seed(100, seed)),
            start: Instant::now(),
        })
    }

    /// Creates the entry VMs, and introduces them to each other unless the zone is split.
    pub(crate) fn start(self: &Arc<Self>, vms: usize) -> Vec<Vm<Serving>> {
        let made: Vec<_> = (0..vms).map(|vm| self.make_vm(vm)).collect();
        if !self.faults.split {
            self.introduce();
            let simulation = Arc::clone(self);
            tokio::spawn(async move {
                loop {
                    simulation.introduce();
                    sleep(Duration::from_millis(500)).await;
                }
            });
        }
        for node in self.nodes().into_iter().filter(|_| !self.faults.silent) {
            tokio::spawn(async move { share_suspects(&node).await });
        }
        made
    }

    fn make_vm(self: &Arc<Self>, vm: usize) -> Vm<Serving> {
        let address = |port| format!("10.1.0.{vm}:{port}").parse().unwrap();
        let simulation = || Arc::clone(self);
        let ports = EntryPorts {
            clock: Arc::new(FakeClock { vm, simulation: simulation() }),
            meter: Arc::new(NoMeter),
            peers: Arc::new(LossyPeers { vm, simulation: simulation() }),
            platform: Arc::new(LossyPlatform { vm, simulation: simulation() }),
            targets: Arc::new(FaultyTargets::new(simulation())),
            tracer: Arc::new(NoTracer),
        };
        let entry = EntryVm {
            addresses: VmAddresses {
                callers: address(1),
                handoff: address(2),
                operators: address(3),
                peers: address(4),
            },
            fleet: "test".into(),
            incarnation: 1,
            name: format!("entry-{vm}").as_str().into(),
            region: "r".into(),
            zone: if self.faults.zones && vm % 2 == 1 { "y" } else { "z" }.into(),
        };
        let (joining, state) = Vm::join();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let node = Arc::new(EntryNode::new(entry, ports, state, log));
        let (kept, moved) = TEAM.split_at(TEAM.find(r#""t3""#).unwrap());
        let other = if self.faults.zones { r#""zone": "y""# } else { r#""zone": "z""# };
        let team = format!("{kept}{}", moved.replace(r#""zone": "z""#, other));
        let path = SettingsPath::Team("payouts".into());
        for (path, text) in [(SettingsPath::Fleet, FLEET), (path, team.as_str())] {
            assert!(node.offer_settings(&SettingsDocument { path, text: text.into(), version: 1 }));
        }
        self.nodes.lock().unwrap().push(node);
        joining.serve()
    }

    fn introduce(&self) {
        let crashed = self.crashed.lock().unwrap().clone();
        let nodes = self.nodes();
        let beats: Vec<_> = nodes.iter().map(|node| node.heartbeat()).collect();
        for (a, node) in nodes.iter().enumerate() {
            for (b, beat) in beats.iter().enumerate() {
                if a != b && !crashed.contains(&a) && !crashed.contains(&b) {
                    node.accept_heartbeat(beat.clone());
                }
            }
        }
    }

    pub(crate) fn nodes(&self) -> Vec<Arc<EntryNode>> {
        self.nodes.lock().unwrap().clone()
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, RequestHistory> {
        self.history.lock().unwrap()
    }

    /// Returns a number below a bound from the seeded random generator.
    pub(crate) fn random_below(&self, bound: u64) -> u64 {
        u64::arbitrary(&mut self.random.lock().unwrap()) % bound
    }

    /// Decides with the seeded random generator whether a fault of the given probability occurs.
    pub(crate) fn occurs(&self, percent: u8) -> bool {
        self.random_below(100) < u64::from(percent)
    }

    /// Sleeps for a random network delay.
    pub(crate) async fn delay(&self) {
        let delay = Duration::from_millis(self.random_below(40));
        sleep(delay).await;
    }

    pub(crate) fn is_crashed(&self, vm: usize) -> bool {
        self.crashed.lock().unwrap().contains(&vm)
    }

    /// Returns the pool that all requests of the tests use.
    pub(crate) fn pool_key() -> PoolKey {
        PoolKey::new("payouts", "z")
    }

    /// Creates a caller's request. Keys that begin with `pay` are at-most-once.
    pub(crate) fn request(key: &str, id: &str) -> Request<steer::Body> {
        let path = if key.starts_with("pay") { "/approvals" } else { "/read" };
        Request::post(path)
            .header("host", "payouts")
            .header("idempotency-key", key)
            .header("x-request-id", id)
            .body(full_body(key.to_owned()))
            .unwrap()
    }

    /// Sends a request to an entry VM and records the reply that the caller gets.
    pub(crate) async fn send(&self, vm: usize, key: &str, id: &str) -> Outcome {
        let node = Arc::clone(&self.nodes()[vm]);
        let sent = Instant::now();
        let answer = serve_request(&node, Self::request(key, id), Origin::Caller).await;
        let (outcome, body) = match answer {
            Err(refusal) => (refusal.answer().outcome, None),
            Ok(response) => {
                let outcome = response.headers()["request-outcome"].to_str().unwrap();
                let outcome = Outcome::parse(outcome).unwrap();
                let success = response.status().is_success();
                match response.into_body().collect().await {
                    Ok(whole) if success => {
                        let text = String::from_utf8(whole.to_bytes().to_vec()).unwrap();
                        (outcome, Some(text))
                    }
                    Ok(_) => (outcome, None),
                    Err(_) => (Outcome::Unknown, None),
                }
            }
        };
        let (id, key) = (id.to_owned(), key.to_owned());
        if !self.is_crashed(vm) {
            self.history().replies.push(ObservedReply { body, id, key, outcome, sent });
        }
        outcome
    }
}
