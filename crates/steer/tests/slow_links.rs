//! Tests that a VM behind a slow link learns of large objects in time.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod routers;

use async_trait::async_trait;
use routers::{EmptyTargets, router_of, vm};
use std::{
    collections::BTreeSet,
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::{
    ObjectBatch, ObjectCache, ObjectPage, ObjectSource, PageQuery, PartQuery, PeerError, RawObject,
    RegistryError, RelayRole, RelayTiming, RelayedSource, Router, UpdatePeers, UpdateQuery,
    UpdateReply, VmHello, poll_upstreams,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until, timeout},
};

const CONFIGURATION: &str = "configuration";
const TARGETS: &str = "targets";
/// Time within which a change must be known at every VM.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
const POLL_WAIT: Duration = Duration::from_millis(700);
/// Time from which the store's client waits no longer for a response, besides the call's own wait.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// The link of the VM under test. A transfer that is abandoned still takes its time: its bytes are
/// on their way.
#[derive(Debug)]
struct Link {
    carried: Mutex<usize>,
    free_at: Mutex<Instant>,
    /// Bytes a second.
    rate: f64,
}

impl Link {
    async fn carry(&self, bytes: usize) {
        *self.carried.lock().unwrap() += bytes;
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            let time = Duration::from_secs_f64(bytes as f64 / self.rate);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(until).await;
    }
}

fn size(batch: &ObjectBatch) -> usize {
    batch.objects.iter().map(|object| object.name.len() + object.text.len() + 100).sum()
}

/// A store whose two kinds hold one object each; the text begins with the revision.
#[derive(Debug)]
struct SizedStore {
    /// Revision and size of the configuration, and the revision of the targets.
    state: watch::Sender<(u64, usize, u64)>,
}

impl SizedStore {
    fn revision(&self, kind: &str) -> u64 {
        let (configuration, _, targets) = *self.state.borrow();
        if kind == CONFIGURATION { configuration } else { targets }
    }

    fn read(&self, kind: &str) -> ObjectBatch {
        let revision = self.revision(kind);
        let length = if kind == CONFIGURATION { self.state.borrow().1 } else { 400 };
        let text = revision.to_string() + &" ".repeat(length);
        let object = RawObject { deleted: false, name: "main".into(), text: text.into() };
        ObjectBatch::new(vec![object], revision)
    }

    async fn wait_after(&self, kind: &str, revision: u64, wait: Duration) -> ObjectBatch {
        let mut changed = self.state.subscribe();
        let has_changes = async {
            while self.revision(kind) <= revision {
                changed.changed().await.unwrap();
            }
        };
        match timeout(wait, has_changes).await {
            Ok(()) => self.read(kind),
            Err(_) => ObjectBatch::new(Vec::new(), revision),
        }
    }
}

/// The store as the VM under test reaches it over its link.
#[derive(Debug)]
struct StoreBehindLink {
    link: Arc<Link>,
    store: Arc<SizedStore>,
}

#[async_trait]
impl ObjectSource for StoreBehindLink {
    async fn list(&self, kind: &'static str) -> Result<ObjectBatch, RegistryError> {
        let batch = self.store.read(kind);
        let carried = timeout(STORE_TIMEOUT, self.link.carry(size(&batch))).await;
        carried.map(|()| batch).map_err(|_| RegistryError::unavailable("timed out"))
    }

    async fn watch(
        &self,
        kind: &'static str,
        revision: u64,
        wait: Duration,
    ) -> Result<ObjectBatch, RegistryError> {
        let batch = self.store.wait_after(kind, revision, wait).await;
        let carried = timeout(STORE_TIMEOUT, self.link.carry(size(&batch))).await;
        carried.map(|()| batch).map_err(|_| RegistryError::unavailable("timed out"))
    }
}

/// The delegates of the region; the VM under test reaches them over its link.
#[derive(Debug)]
struct Delegates {
    cache: Arc<ObjectCache>,
    link: Arc<Link>,
}

#[async_trait]
impl UpdatePeers for Delegates {
    async fn poll_updates(
        &self,
        _peer: SocketAddr,
        query: &UpdateQuery,
    ) -> Result<UpdateReply, PeerError> {
        let reply = self.cache.answer(query).await;
        self.link.carry(reply.values().map(|update| size(&update.batch) + 50).sum()).await;
        Ok(reply)
    }

    async fn fetch_part(&self, _peer: SocketAddr, query: &PartQuery) -> Result<String, PeerError> {
        let part = self.cache.part(query);
        self.link.carry(part.as_ref().map_or(0, String::len) + 100).await;
        part.ok_or_else(|| PeerError::Refused("no such version".to_owned()))
    }

    async fn fetch_page(
        &self,
        _peer: SocketAddr,
        query: &PageQuery,
    ) -> Result<ObjectPage, PeerError> {
        let page = self.cache.page(query);
        let size = |page: &ObjectPage| size(&ObjectBatch::new(page.objects.clone(), 0));
        self.link.carry(page.as_ref().map_or(0, size) + 100).await;
        page.ok_or_else(|| PeerError::Refused("no objects".to_owned()))
    }
}

/// Reads the store for the region's delegates, whose links are fast.
async fn read_for_delegates(store: Arc<SizedStore>, cache: Arc<ObjectCache>, kind: &'static str) {
    let timing = RelayTiming::within(APPLY_LIMIT);
    let max_age = timing.max_age(RelayRole::ZoneDelegate);
    let mut revision = store.revision(kind);
    cache.replace(kind, store.read(kind), max_age, Instant::now());
    loop {
        let batch = store.wait_after(kind, revision, timing.wait).await;
        let since = std::mem::replace(&mut revision, batch.revision);
        cache.extend(kind, since, batch, Instant::now());
        sleep(Duration::from_millis(20)).await;
    }
}

async fn send_hellos(router: Arc<Router>) {
    loop {
        for number in 2..=28 {
            let mut vm = vm(&format!("entry-{number}"), number, "lis-a", "lisboa");
            vm.capacity = 500;
            router.record_hello(VmHello::new(vm));
        }
        sleep(Duration::from_millis(700)).await;
    }
}

/// Follows a kind, and records when each revision arrived.
async fn follow(source: RelayedSource, kind: &'static str, seen: Arc<Mutex<Vec<(u64, Instant)>>>) {
    let mut revision = loop {
        match source.list(kind).await {
            Ok(all) => break all.revision,
            Err(_) => sleep(Duration::from_millis(200)).await,
        }
    };
    loop {
        match source.watch(kind, revision, Duration::from_millis(1_200)).await {
            Ok(batch) => {
                if batch.revision > revision {
                    seen.lock().unwrap().push((batch.revision, Instant::now()));
                }
                revision = batch.revision;
            }
            Err(_) => sleep(Duration::from_millis(200)).await,
        }
    }
}

/// Changes the configuration at 5 s and the targets four times a second, and returns when the VM
/// under test knew of the new configuration, the longest delay of a change of a target, and the
/// bytes that its link carried.
async fn deliver(bytes: usize, rate: f64, changes: usize) -> (Option<Duration>, Duration, usize) {
    let start = Instant::now();
    let free_at = Mutex::new(start);
    let link = Arc::new(Link { carried: Mutex::default(), free_at, rate });
    let store = Arc::new(SizedStore { state: watch::Sender::new((5, 1_000, 5)) });
    let delegates = Arc::new(Delegates { cache: ObjectCache::new(), link: Arc::clone(&link) });
    let mut tasks = tokio::task::JoinSet::new();
    for kind in [CONFIGURATION, TARGETS] {
        let (store, cache) = (Arc::clone(&store), Arc::clone(&delegates.cache));
        tasks.spawn(read_for_delegates(store, cache, kind));
    }
    let own = vm("entry-1", 1, "lis-a", "lisboa");
    let router = Arc::new(router_of(own, Arc::new(EmptyTargets)));
    router.fleet().set_registry_read(&BTreeSet::new());
    tasks.spawn(send_hellos(Arc::clone(&router)));
    sleep(Duration::from_millis(10)).await;
    let cache = ObjectCache::new();
    let seen = [(); 2].map(|()| Arc::new(Mutex::new(Vec::new())));
    for (kind, seen) in [CONFIGURATION, TARGETS].into_iter().zip(&seen) {
        let (link, store) = (Arc::clone(&link), Arc::clone(&store));
        let reads = Arc::new(StoreBehindLink { link, store });
        let timing = RelayTiming::within(APPLY_LIMIT);
        let source = RelayedSource::new(Arc::clone(&router), Arc::clone(&cache), timing, reads);
        tasks.spawn(follow(source, kind, Arc::clone(seen)));
    }
    tasks.spawn(poll_upstreams(Arc::clone(&router), cache, delegates as _, POLL_WAIT));
    let mut changed = Vec::new();
    for step in 0..80 {
        sleep(Duration::from_millis(250)).await;
        store.state.send_modify(|state| {
            state.2 += 1;
            if step >= 19 && step < 19 + 8 * changes && (step - 19) % 8 == 0 {
                (state.0, state.1) = (state.0 + 1, bytes);
            }
        });
        changed.push((store.revision(TARGETS), Instant::now()));
    }
    let last = store.revision(CONFIGURATION);
    let changed_at = start + Duration::from_millis(10 + 250 * (20 + 8 * (changes as u64 - 1)));
    let configuration = seen[0].lock().unwrap().iter().find(|(at, _)| *at >= last).copied();
    let targets = seen[1].lock().unwrap().clone();
    let delay = |(revision, at): &(u64, Instant)| {
        let known = targets.iter().find(|(seen, _)| seen >= revision);
        known.map_or(Instant::now(), |(_, known)| *known).duration_since(*at)
    };
    let longest = changed.iter().take(60).map(delay).max().unwrap();
    let carried = *link.carried.lock().unwrap();
    (configuration.map(|(_, at)| at.duration_since(changed_at)), longest, carried)
}

#[tokio::test(start_paused = true)]
async fn a_large_configuration_arrives_over_a_slow_link() {
    let mut table = String::new();
    let rows = [
        (1_000, 10.0, 1),
        (300_000, 10.0, 1),
        (1 << 20, 10.0, 1),
        (1 << 20, 10.0, 3),
        (1 << 20, 4.0, 1),
    ];
    for (bytes, mbps, changes) in rows {
        let (known, targets, carried) = deliver(bytes, mbps * 125_000.0, changes).await;
        let late = known.is_none_or(|time| time > APPLY_LIMIT) || targets > APPLY_LIMIT;
        writeln!(
            table,
            "{bytes} bytes at {mbps} Mbit/s, {changes} changes: {known:?}, targets {targets:?}, \
             {carried} bytes carried{}",
            if late { ", late" } else { "" }
        )
        .unwrap();
    }
    assert!(!table.contains("late"), "{table}");
    insta::assert_snapshot!(table);
}
