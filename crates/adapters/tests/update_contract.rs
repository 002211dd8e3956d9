//! Contract test of the store updates that VMs relay to each other.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, RpcPeers, serve_fleet};
use async_trait::async_trait;
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap, fmt::Write, net::SocketAddr, net::TcpListener, sync::Arc, time::Duration,
};
use steer::{
    Body, LargeObject, LoadError, LoadReport, NoMeter, NoTracer, ObjectBatch, ObjectCache,
    PartQuery, PeerError, PlacementLimits, RawObject, Router, RouterParts, RouterPorts, SendError,
    Targets, UpdatePeers, UpdateQuery, UpdateReply, Vm, VmRecord,
};
use tokio::time::{Instant, sleep};

const MAX_AGE: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct NoTargets;

#[async_trait]
impl Targets for NoTargets {
    async fn send(
        &self,
        _target: SocketAddr,
        _request: http::Request<Body>,
    ) -> Result<http::Response<Body>, SendError> {
        Err(SendError::sent("no targets here"))
    }

    async fn read_load(&self, _target: SocketAddr) -> Result<LoadReport, LoadError> {
        Ok(LoadReport::default())
    }
}

fn router(address: SocketAddr) -> Arc<Router> {
    let parts = RouterParts {
        log: Logger::root(Discard, o!()),
        ports: RouterPorts {
            meter: Arc::new(NoMeter),
            targets: Arc::new(NoTargets),
            tracer: Arc::new(NoTracer),
        },
        rules: PlacementLimits::default(),
        vm: VmRecord {
            callers: address,
            capacity: 200,
            incarnation: 1,
            name: "entry-1".into(),
            peers: address,
            region: "lisboa".into(),
            zone: "lis-a".into(),
        },
        zones: BTreeMap::new(),
    };
    Arc::new(Router::new(parts, Vm::join().1))
}

fn object(name: &str, deleted: bool) -> RawObject {
    RawObject {
        deleted,
        name: name.into(),
        text: format!("{{\"of\":\"{name} \\\"é\\\"\"}}").into(),
    }
}

fn query(revisions: &[(&str, u64)], ms: u64) -> UpdateQuery {
    let revisions = revisions.iter().map(|(kind, revision)| ((*kind).into(), *revision));
    let wait = Duration::from_millis(ms);
    UpdateQuery { revisions: revisions.collect(), wait, ..UpdateQuery::default() }
}

fn describe(reply: &UpdateReply) -> String {
    let mut text = String::new();
    for (kind, update) in reply {
        let changes = update.batch.objects.iter();
        let names: Vec<String> =
            changes.map(|o| format!("{}{}", if o.deleted { "-" } else { "+" }, o.name)).collect();
        let full = if update.full { "all of " } else { "" };
        let revision = update.batch.revision;
        write!(text, "{full}{kind} at {revision} [{}] ", names.join(" ")).unwrap();
    }
    text
}

#[tokio::test]
async fn replies_at_once_if_there_are_changes_and_waits_otherwise() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let cache = ObjectCache::new();
    let _server = serve_fleet(router(address), Arc::clone(&cache), address).await.unwrap();
    let peers = RpcPeers::new(ConnectionPool::new());
    let now = Instant::now();
    cache.replace("targets", ObjectBatch::new(vec![object("a", false)], 4), MAX_AGE, now);
    cache.replace("zones", ObjectBatch::new(Vec::new(), 4), MAX_AGE, now);
    cache.extend(
        "targets",
        4,
        ObjectBatch::new(vec![object("b", false), object("a", true)], 6),
        now,
    );
    let mut table = String::new();
    let cases = [
        ("behind", query(&[("targets", 4), ("zones", 4)], 60_000)),
        ("behind the retained changes", query(&[("targets", 3)], 60_000)),
        ("up to date", query(&[("targets", 6), ("zones", 4)], 50)),
        ("a kind that the peer does not watch", query(&[("routes", 1), ("zones", 4)], 60_000)),
    ];
    for (name, query) in cases {
        let reply = peers.poll_updates(address, &query).await.unwrap();
        writeln!(table, "{name}: {}", describe(&reply).trim_end()).unwrap();
    }
    let change = async {
        sleep(Duration::from_millis(50)).await;
        let objects = vec![object("lis-a", false)];
        cache.extend("zones", 4, ObjectBatch::new(objects, 9), Instant::now());
    };
    let pending = query(&[("targets", 6), ("zones", 4)], 60_000);
    let (reply, ()) = tokio::join!(peers.poll_updates(address, &pending), change);
    writeln!(table, "change while waiting: {}", describe(&reply.unwrap()).trim_end()).unwrap();
    insta::assert_snapshot!(table);

    let copy = ObjectCache::new();
    copy.replace("targets", ObjectBatch::new(vec![object("a", false)], 4), MAX_AGE, now);
    let sent = query(&[("targets", 4)], 0);
    copy.apply_reply(&sent, peers.poll_updates(address, &sent).await.unwrap());
    assert_eq!(copy.all("targets"), cache.all("targets"));
}

#[tokio::test]
async fn large_objects_follow_in_parts() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let cache = ObjectCache::new();
    let _server = serve_fleet(router(address), Arc::clone(&cache), address).await.unwrap();
    let peers = RpcPeers::new(ConnectionPool::new());
    let (now, text) = (Instant::now(), "{\"é\":\"\\n\"} ".repeat(20_000));
    let large = RawObject { deleted: false, name: "main".into(), text: text.as_str().into() };
    let objects = vec![object("a", false), large];
    cache.replace("routes", ObjectBatch::new(objects, 4), MAX_AGE, now);
    let query = UpdateQuery { parts: true, ..query(&[("routes", 3)], 60_000) };
    let reply = peers.poll_updates(address, &query).await.unwrap();
    let update = &reply["routes"];
    assert_eq!(update.batch.objects, [object("a", false)]);
    let [offer] = &update.large[..] else { panic!("{update:?}") };
    let mut received = String::new();
    while received.len() < offer.size {
        let (object, offset) = (offer.clone(), received.len());
        let part = PartQuery { kind: "routes".into(), object, offset };
        received += &peers.fetch_part(address, &part).await.unwrap();
    }
    assert!(received == text);
    let object = LargeObject { digest: offer.digest ^ 1, ..offer.clone() };
    let missing = PartQuery { kind: "routes".into(), object, offset: 0 };
    let refusal = peers.fetch_part(address, &missing).await.unwrap_err();
    assert_eq!(refusal, PeerError::Refused("no such version".to_owned()));
}
