//! Contract of the store updates that VMs relay to each other.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, RpcPeers, serve_fleet};
use async_trait::async_trait;
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap, fmt::Write, net::SocketAddr, net::TcpListener, sync::Arc, time::Duration,
};
use steer::{
    Body, LoadError, LoadReport, NewsBoard, NewsPeers, NewsQuery, NewsReply, NoMeter, NoTracer,
    PlacementLimits, RawNews, RawObject, Router, RouterParts, RouterPorts, SendError, Targets, Vm,
    VmRecord,
};
use tokio::time::{Instant, sleep};

const FRESH: Duration = Duration::from_secs(60);

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

fn query(revisions: &[(&str, u64)], ms: u64) -> NewsQuery {
    let revisions = revisions.iter().map(|(kind, revision)| ((*kind).into(), *revision));
    NewsQuery { revisions: revisions.collect(), wait: Duration::from_millis(ms) }
}

fn describe(reply: &NewsReply) -> String {
    let mut text = String::new();
    for (kind, kind_news) in reply {
        let changes = kind_news.news.objects.iter();
        let names: Vec<String> =
            changes.map(|o| format!("{}{}", if o.deleted { "-" } else { "+" }, o.name)).collect();
        let full = if kind_news.full { "all of " } else { "" };
        let revision = kind_news.news.revision;
        write!(text, "{full}{kind} at {revision} [{}] ", names.join(" ")).unwrap();
    }
    text
}

#[tokio::test]
async fn answers_at_once_if_there_is_news_and_waits_otherwise() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let board = NewsBoard::new();
    let _server = serve_fleet(router(address), Arc::clone(&board), address).await.unwrap();
    let peers = RpcPeers::new(ConnectionPool::new());
    let now = Instant::now();
    board.replace("targets", RawNews::new(vec![object("a", false)], 4), FRESH, now);
    board.replace("zones", RawNews::new(Vec::new(), 4), FRESH, now);
    board.extend("targets", 4, RawNews::new(vec![object("b", false), object("a", true)], 6), now);
    let mut table = String::new();
    let cases = [
        ("behind", query(&[("targets", 4), ("zones", 4)], 60_000)),
        ("behind all that is remembered", query(&[("targets", 3)], 60_000)),
        ("up to date", query(&[("targets", 6), ("zones", 4)], 50)),
        ("a kind that the peer does not follow", query(&[("routes", 1), ("zones", 4)], 60_000)),
    ];
    for (name, query) in cases {
        let reply = peers.ask_news(address, &query).await.unwrap();
        writeln!(table, "{name}: {}", describe(&reply).trim_end()).unwrap();
    }
    let news = async {
        sleep(Duration::from_millis(50)).await;
        let objects = vec![object("lis-a", false)];
        board.extend("zones", 4, RawNews::new(objects, 9), Instant::now());
    };
    let pending = query(&[("targets", 6), ("zones", 4)], 60_000);
    let (reply, ()) = tokio::join!(peers.ask_news(address, &pending), news);
    writeln!(table, "news while waiting: {}", describe(&reply.unwrap()).trim_end()).unwrap();
    insta::assert_snapshot!(table);

    let copy = NewsBoard::new();
    copy.replace("targets", RawNews::new(vec![object("a", false)], 4), FRESH, now);
    let sent = query(&[("targets", 4)], 0);
    copy.hear(&sent, peers.ask_news(address, &sent).await.unwrap());
    assert_eq!(copy.all("targets"), board.all("targets"));
}
