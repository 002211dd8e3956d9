//! Tests a VM's targets and evacuated zones while the store changes, fails and compacts its
//! history.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod routers;

use async_trait::async_trait;
use routers::{EmptyTargets, router_of, vm};
use slog::{Discard, Logger, o};
use std::{
    collections::{BTreeMap, VecDeque},
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use steer::{
    Change, Changes, EvacuationFollower, FollowTiming, Follower, Listing, Registry, RegistryError,
    Router, StoreRecoveries, TargetFollower, TargetRecord, VmHello, follow_registry,
};
use tokio::time::{Instant, sleep};

fn router() -> Arc<Router> {
    let vm = vm("entry-1", 1, "lis-a", "lisboa");
    Arc::new(router_of(vm, Arc::new(EmptyTargets)))
}

fn target(name: &str) -> TargetRecord {
    let record = TargetRecord::new(name, "briefs", "10.0.0.1:80".parse().unwrap());
    record.slots(2).zone("lis-a")
}

/// A scripted response of the store.
enum ScriptedResponse {
    Changes(Vec<Change<TargetRecord>>),
    Expired,
    Fail,
    FailEverywhere,
    List(&'static [&'static str]),
}

/// Responds to calls from a script, in order; watches after its end never return.
struct ScriptedRegistry(Mutex<VecDeque<ScriptedResponse>>);

impl std::fmt::Debug for ScriptedRegistry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ScriptedRegistry")
    }
}

#[async_trait]
impl Registry<TargetRecord> for ScriptedRegistry {
    async fn list(&self) -> Result<Listing<TargetRecord>, RegistryError> {
        let response = self.0.lock().unwrap().pop_front();
        match response {
            Some(ScriptedResponse::List(names)) => Ok(Listing {
                items: names.iter().map(|name| ((*name).into(), target(name))).collect(),
                relayed: false,
                revision: 7,
                unreadable: BTreeMap::new(),
            }),
            _ => Err(RegistryError::unavailable("down")),
        }
    }

    async fn watch(&self, _: u64, _: Duration) -> Result<Changes<TargetRecord>, RegistryError> {
        let response = self.0.lock().unwrap().pop_front();
        match response {
            Some(ScriptedResponse::Changes(changes)) => {
                Ok(Changes { changes, relayed: false, revision: 8 })
            }
            Some(ScriptedResponse::Expired) => Err(RegistryError::Expired),
            Some(ScriptedResponse::Fail) => Err(RegistryError::unavailable("down")),
            Some(ScriptedResponse::FailEverywhere) => {
                Err(RegistryError::Lost { reason: "down".into() })
            }
            Some(ScriptedResponse::List(_)) => panic!("the script expects a list, not a watch"),
            None => pending().await,
        }
    }
}

const TIMING: FollowTiming = FollowTiming {
    pause: Duration::from_millis(400),
    period: Duration::from_secs(1),
    wait: Duration::from_secs(3),
};

/// Follows a scripted registry and lists the known targets at the given times in milliseconds.
async fn run(script: Vec<ScriptedResponse>, others_lost: bool, at: &[u64]) -> String {
    let router = router();
    let start = Instant::now();
    let registry = Arc::new(ScriptedRegistry(Mutex::new(script.into())));
    let follower = Arc::new(TargetFollower::new(Arc::clone(&router)));
    let log = Logger::root(Discard, o!());
    let flow = follow_registry(registry, follower, TIMING, StoreRecoveries::new(), log);
    let flow = tokio::spawn(flow);
    let mut seen = String::new();
    for ms in at {
        while start.elapsed() < Duration::from_millis(*ms) {
            for name in ["entry-2", "entry-3"] {
                let hello = VmHello::new(vm(name, 2, "lis-a", "lisboa"));
                let hello = VmHello { outdated: others_lost, ..hello };
                router.fleet().record_hello(hello);
            }
            sleep(Duration::from_millis(50)).await;
        }
        let names: Vec<String> =
            router.target_table().names().iter().map(ToString::to_string).collect();
        seen += &format!("{ms} ms: {}\n", names.join(" "));
    }
    flow.abort();
    seen
}

fn outage(end: &'static [&'static str]) -> Vec<ScriptedResponse> {
    let mut script = vec![ScriptedResponse::List(&["a", "b", "c"])];
    script.extend((0..10).map(|_| ScriptedResponse::Fail));
    script.extend([ScriptedResponse::Expired, ScriptedResponse::List(end)]);
    script
}

#[tokio::test(start_paused = true)]
async fn targets_that_expired_in_a_store_outage_get_two_seconds_to_return() {
    insta::assert_snapshot!(run(outage(&["a"]), true, &[100, 4_000, 5_500, 7_000, 9_000]).await);
}

#[tokio::test(start_paused = true)]
async fn targets_that_left_while_only_this_vm_was_cut_off_are_removed_at_once() {
    insta::assert_snapshot!(run(outage(&["a"]), false, &[100, 3_000, 5_500]).await);
}

#[tokio::test(start_paused = true)]
async fn a_target_that_returns_within_the_grace_period_is_kept() {
    let mut script = outage(&["a"]);
    let back = Change::Put("b".into(), target("b"));
    script.push(ScriptedResponse::Changes(vec![back]));
    insta::assert_snapshot!(run(script, true, &[4_000, 9_000]).await);
}

#[tokio::test(start_paused = true)]
async fn a_single_failed_watch_is_not_an_outage() {
    let gone = ScriptedResponse::Changes(vec![Change::Removed("b".into())]);
    let script = vec![ScriptedResponse::List(&["a", "b"]), ScriptedResponse::Fail, gone];
    insta::assert_snapshot!(run(script, true, &[100, 1_000]).await);
}

#[tokio::test(start_paused = true)]
async fn a_failure_of_delegates_and_store_is_an_outage() {
    let gone = ScriptedResponse::Changes(vec![Change::Removed("b".into())]);
    let script = vec![ScriptedResponse::List(&["a", "b"]), ScriptedResponse::FailEverywhere, gone];
    insta::assert_snapshot!(run(script, true, &[100, 1_500, 3_500]).await);
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_registration_removes_only_its_own_target() {
    let broken = Change::Unreadable("b".into(), "no address".into());
    let script = vec![ScriptedResponse::List(&["a", "b"]), ScriptedResponse::Changes(vec![broken])];
    insta::assert_snapshot!(run(script, false, &[1_000]).await);
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_evacuation_still_evacuates_its_zone() {
    let router = router();
    router.target_table().apply(target("a"));
    let follower = EvacuationFollower::new(Arc::clone(&router));
    let query = steer::PlacementQuery::new("briefs");
    follower.apply(Change::Unreadable("lis-a".into(), "bytes".into()));
    assert!(router.target_table().place_request(&query).is_err());
    follower.apply(Change::Removed("lis-a".into()));
    assert!(router.target_table().place_request(&query).is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_target_that_stays_cold_for_longer_than_any_clock_ends_no_task() {
    let mut odd = target("b");
    odd.cold_left = Duration::MAX;
    let script = vec![
        ScriptedResponse::List(&["a"]),
        ScriptedResponse::Changes(vec![Change::Put("b".into(), odd)]),
        ScriptedResponse::Changes(vec![Change::Put("c".into(), target("c"))]),
    ];
    insta::assert_snapshot!(run(script, false, &[100, 4_000]).await);
}

/// Counts its watches, the first of which returns at once.
#[derive(Debug, Default)]
struct CountingRegistry(AtomicUsize);

#[async_trait]
impl Registry<()> for CountingRegistry {
    async fn list(&self) -> Result<Listing<()>, RegistryError> {
        let (items, unreadable) = (BTreeMap::new(), BTreeMap::new());
        Ok(Listing { items, relayed: false, revision: 7, unreadable })
    }

    async fn watch(&self, _: u64, _: Duration) -> Result<Changes<()>, RegistryError> {
        if self.0.fetch_add(1, Ordering::Relaxed) > 0 {
            pending::<()>().await;
        }
        Ok(Changes { changes: Vec::new(), relayed: false, revision: 8 })
    }
}

/// Has something to do at a time.
#[derive(Debug)]
struct DueFollower(Mutex<Option<Instant>>);

impl Follower<()> for DueFollower {
    fn apply(&self, _: Change<()>) {}

    fn name(&self) -> &'static str {
        "due"
    }

    fn next_deadline(&self) -> Option<Instant> {
        *self.0.lock().unwrap()
    }

    fn replace(&self, _: Listing<()>) {}

    fn run_due(&self) {
        self.0.lock().unwrap().take_if(|at| *at <= Instant::now());
    }
}

// Guards against calls to the store that are cancelled at once, with their connection.
#[tokio::test(start_paused = true)]
async fn what_is_due_before_a_call_does_not_cancel_it() {
    let due = Instant::now() + TIMING.period / 2;
    let (registry, follower) =
        (Arc::new(CountingRegistry::default()), Arc::new(DueFollower(Mutex::new(Some(due)))));
    let log = Logger::root(Discard, o!());
    let (calls, recoveries) = (Arc::clone(&registry), StoreRecoveries::new());
    let flow = tokio::spawn(follow_registry(registry, follower.clone(), TIMING, recoveries, log));
    sleep(2 * TIMING.period).await;
    flow.abort();
    assert_eq!((calls.0.load(Ordering::Relaxed), follower.next_deadline()), (2, None));
}
