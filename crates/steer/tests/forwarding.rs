//! Tests the outcome of a request for different behaviors of its targets.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod routers;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::{StreamExt, iter, once, pending};
use http::{Request, Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, StreamBody};
use routers::{router_of, vm};
use std::{
    collections::VecDeque,
    fmt::Write,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};
use steer::{
    Body, BodyError, CallerRequest, LoadError, LoadReport, RepeatRule, Route, RouteTable, Router,
    SendError, TargetIdentity, TargetOutcome, TargetRecord, TargetReport, Targets, empty_body,
    forward_request, full_body,
};
use tokio::time::{sleep, timeout};

/// Limit on reading a response body, far beyond each deadline.
const DAY: Duration = Duration::from_secs(86_400);

/// Timeout of each route.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// How a target handles a request.
#[derive(Clone, Copy, Debug)]
enum TargetBehavior {
    Answer(u16),
    /// Sends the head of the response immediately, but never the body.
    AnswerHeadOnly,
    /// Sends the head of the response immediately; the body breaks off.
    AnswerBroken,
    /// Sends the head of the response immediately, and its body when [`ROUTE_TIMEOUT`] is over.
    AnswerInTime,
    Break,
    Hang,
    Misdirect,
    /// Reads the whole request, then responds.
    Read,
    Refuse,
    Unreachable,
}

/// A body of four bytes with a length, in one frame.
struct SizedBody(Body);

impl SizedBody {
    fn boxed(
        frame: impl Future<Output = Result<Frame<Bytes>, BodyError>> + Send + 'static,
    ) -> Body {
        Self(StreamBody::new(once(frame)).boxed_unsync()).boxed_unsync()
    }
}

impl http_body::Body for SizedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.0).poll_frame(cx)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(4)
    }
}

/// Targets that handle one request after the other as scripted, and then respond with status 200.
#[derive(Debug, Default)]
struct ScriptedTargets {
    behaviors: Mutex<VecDeque<TargetBehavior>>,
    sent: Mutex<Vec<String>>,
}

fn respond(status: u16, outcome: TargetOutcome) -> Response<Body> {
    let mut response = Response::new(full_body("done"));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response.extensions_mut().insert(TargetReport::new(outcome));
    response
}

#[async_trait]
impl Targets for ScriptedTargets {
    async fn send(
        &self,
        _target: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let behavior =
            self.behaviors.lock().unwrap().pop_front().unwrap_or(TargetBehavior::Answer(200));
        let identity = request.extensions().get::<TargetIdentity>().unwrap().clone();
        if !matches!(behavior, TargetBehavior::Unreachable) {
            self.sent.lock().unwrap().push(identity.name.to_string());
        }
        match behavior {
            TargetBehavior::Answer(status) => Ok(respond(status, TargetOutcome::Ran)),
            TargetBehavior::AnswerHeadOnly => {
                let body = StreamBody::new(pending::<Result<Frame<Bytes>, BodyError>>());
                Ok(respond(200, TargetOutcome::Ran).map(|_| body.boxed_unsync()))
            }
            TargetBehavior::AnswerBroken => {
                let error = BodyError { reason: "connection reset".to_owned() };
                Ok(respond(200, TargetOutcome::Ran).map(|_| SizedBody::boxed(async { Err(error) })))
            }
            TargetBehavior::AnswerInTime => {
                let arrival = sleep(ROUTE_TIMEOUT);
                Ok(respond(200, TargetOutcome::Ran).map(|_| {
                    SizedBody::boxed(async {
                        arrival.await;
                        Ok(Frame::data(Bytes::from_static(b"done")))
                    })
                }))
            }
            TargetBehavior::Break => Err(SendError::sent("connection reset")),
            TargetBehavior::Hang => {
                sleep(Duration::from_secs(60)).await;
                Ok(respond(200, TargetOutcome::Ran))
            }
            TargetBehavior::Misdirect => Ok(respond(421, TargetOutcome::Misdirected)),
            TargetBehavior::Read => match request.into_body().collect().await {
                Ok(_) => Ok(respond(200, TargetOutcome::Ran)),
                Err(error) => Err(SendError::sent(error.to_string())),
            },
            TargetBehavior::Refuse => Ok(respond(503, TargetOutcome::NotRun)),
            TargetBehavior::Unreachable => Err(SendError::not_sent("connection refused", request)),
        }
    }

    async fn read_load(&self, _target: SocketAddr) -> Result<LoadReport, LoadError> {
        Ok(LoadReport::default())
    }
}

struct ForwardingFixture {
    router: Router,
    targets: Arc<ScriptedTargets>,
}

impl ForwardingFixture {
    fn new(behaviors: &[TargetBehavior]) -> Self {
        let targets = Arc::new(ScriptedTargets::default());
        targets.behaviors.lock().unwrap().extend(behaviors);
        let vm = vm("entry-1", 1, "lis-a", "lisboa");
        let router = router_of(vm, Arc::clone(&targets) as _);
        Self { router, targets }
    }

    fn with_routes(self) -> Self {
        self.with_routes_and_targets(4)
    }

    fn with_routes_and_targets(self, targets: usize) -> Self {
        let route = |name: &str, repeat| {
            Route::new(name, "a.example", &format!("/{name}/"), "briefs")
                .repeat(repeat)
                .attempts(2)
                .timeout(ROUTE_TIMEOUT)
        };
        let table = RouteTable::new(1)
            .route(route("read", RepeatRule::Idempotent))
            .route(route("pay", RepeatRule::OncePerTry))
            .route(route("upload", RepeatRule::OncePerTry).streamed(true))
            .max_body(Some(1 << 20));
        self.router.activate(table);
        for i in 1..=targets {
            let address = "10.0.0.1:80".parse().unwrap();
            let record = TargetRecord::new(format!("t-{i}"), "briefs", address);
            self.router.target_table().apply(record.slots(2).zone("lis-a"));
        }
        self
    }

    async fn send_to(&self, path: &str, deadline: Duration) -> String {
        let body = if path.starts_with("/read") { empty_body() } else { full_body("body") };
        self.send(path, deadline, body).await
    }

    async fn send(&self, path: &str, deadline: Duration, body: Body) -> String {
        let caller = CallerRequest::new("a.example", path).deadline(Some(deadline));
        let request = Request::post(path).body(body).unwrap();
        let start = tokio::time::Instant::now();
        let answer = match forward_request(&self.router, &caller, request).await {
            Ok(response) => {
                let status = response.status().as_u16();
                let whole = timeout(DAY, response.into_body().collect()).await.unwrap().is_ok();
                format!("{status} of a target{}", if whole { "" } else { ", cut" })
            }
            Err(refusal) => {
                let answer = refusal.answer();
                format!("{} {}, {}", answer.status.as_u16(), refusal.kind, answer.outcome)
            }
        };
        let sent = self.targets.sent.lock().unwrap().len();
        format!("{answer}; sent to {sent}; {} ms", start.elapsed().as_millis())
    }
}

#[tokio::test(start_paused = true)]
async fn retries_only_what_may_be_repeated() {
    use TargetBehavior::*;
    let scripts: [&[TargetBehavior]; 12] = [
        &[],
        &[Answer(404)],
        &[Answer(500)],
        &[Answer(500), Answer(500)],
        &[Break],
        &[Break, Break],
        &[Refuse],
        &[Refuse, Refuse, Refuse],
        &[Misdirect],
        &[Unreachable, Unreachable],
        &[Unreachable, Unreachable, Unreachable],
        &[Hang],
    ];
    let mut table = String::new();
    for script in scripts {
        writeln!(table, "{script:?}").unwrap();
        for path in ["/read/7", "/pay/7", "/upload/7"] {
            let fixture = ForwardingFixture::new(script).with_routes();
            let end = fixture.send_to(path, Duration::from_secs(5)).await;
            writeln!(table, "  {path}: {end}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_have_run_is_not_refused_as_not_run() {
    use TargetBehavior::*;
    let mut table = String::new();
    let scripts: [&[TargetBehavior]; 5] = [
        &[Break, Refuse],
        &[Answer(500), Refuse],
        &[AnswerBroken, Misdirect],
        &[Break, Unreachable, Unreachable, Unreachable],
        &[Answer(500), Unreachable, Unreachable, Unreachable],
    ];
    for script in scripts {
        let fixture = ForwardingFixture::new(script).with_routes();
        let end = fixture.send_to("/read/7", Duration::from_secs(5)).await;
        writeln!(table, "{script:?}: {end}").unwrap();
    }
    for script in [[Break], [Answer(500)], [AnswerBroken]] {
        let fixture = ForwardingFixture::new(&script).with_routes_and_targets(1);
        let end = fixture.send_to("/read/7", Duration::from_secs(5)).await;
        writeln!(table, "{script:?}, no room: {end}").unwrap();
    }
    insta::assert_snapshot!(table, @"
    [Break, Refuse]: 502 the target failed after the request had been sent, unknown; sent to 2; 0 ms
    [Answer(500), Refuse]: 502 the target failed after the request had been sent, unknown; sent to 2; 0 ms
    [AnswerBroken, Misdirect]: 502 the answer broke off before its end, unknown; sent to 2; 0 ms
    [Break, Unreachable, Unreachable, Unreachable]: 502 the target failed after the request had been sent, unknown; sent to 1; 0 ms
    [Answer(500), Unreachable, Unreachable, Unreachable]: 502 the target failed after the request had been sent, unknown; sent to 1; 0 ms
    [Break], no room: 502 the target failed after the request had been sent, unknown; sent to 1; 0 ms
    [Answer(500)], no room: 502 the target failed after the request had been sent, unknown; sent to 1; 0 ms
    [AnswerBroken], no room: 502 the answer broke off before its end, unknown; sent to 1; 0 ms
    ");
}

#[tokio::test(start_paused = true)]
async fn responds_by_the_earlier_of_deadline_and_timeout() {
    let mut table = String::new();
    for ms in [300, 1_900, 9_000] {
        let fixture = ForwardingFixture::new(&[TargetBehavior::Hang]).with_routes();
        let end = fixture.send_to("/pay/7", Duration::from_millis(ms)).await;
        writeln!(table, "deadline {ms} ms: {end}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_stalled_response_is_cut_at_the_deadline() {
    let mut table = String::new();
    for ms in [300, 9_000] {
        let fixture = ForwardingFixture::new(&[TargetBehavior::AnswerHeadOnly]).with_routes();
        let end = fixture.send_to("/read/7", Duration::from_millis(ms)).await;
        writeln!(table, "deadline {ms} ms: {end}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_small_response_is_whole_or_replaced() {
    use TargetBehavior::*;
    let scripts: [&[TargetBehavior]; 3] =
        [&[AnswerInTime], &[AnswerBroken], &[AnswerBroken, AnswerBroken]];
    let mut table = String::new();
    for script in scripts {
        writeln!(table, "{script:?}").unwrap();
        for path in ["/read/7", "/pay/7", "/upload/7"] {
            let fixture = ForwardingFixture::new(script).with_routes();
            let end = fixture.send_to(path, Duration::from_secs(5)).await;
            writeln!(table, "  {path}: {end}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// A body of 256 KiB chunks without a content length, which then ends, breaks off or stalls.
fn chunked(chunks: usize, end: &'static str) -> Body {
    let frame = || Ok(Frame::data(Bytes::from_static(&[7; 256 << 10])));
    let chunks = iter((0..chunks).map(move |_| frame()));
    let broken = || BodyError { reason: "the caller left".to_owned() };
    match end {
        "breaks off" => StreamBody::new(chunks.chain(iter([Err(broken())]))).boxed_unsync(),
        "stalls" => StreamBody::new(chunks.chain(pending())).boxed_unsync(),
        _ => StreamBody::new(chunks).boxed_unsync(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_failed_request_body_does_not_count_against_its_target() {
    let mut table = String::new();
    for (chunks, end) in [(3, "ends"), (5, "ends"), (2, "breaks off"), (2, "stalls")] {
        let fixture = ForwardingFixture::new(&[TargetBehavior::Read]).with_routes();
        let answer = fixture.send("/upload/7", Duration::from_secs(1), chunked(chunks, end)).await;
        let name = fixture.targets.sent.lock().unwrap()[0].clone();
        let mut others = steer::PlacementQuery::new("briefs");
        others.excluded = (1..=4).map(|i| format!("t-{i}").into()).collect();
        others.excluded.remove(name.as_str());
        let usable = fixture.router.target_table().place_request(&others).is_ok();
        writeln!(table, "{chunks} chunks, {end}: {answer}; target usable: {usable}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn reports_an_unknown_route_only_with_a_configuration() {
    let second = Duration::from_secs(1);
    let before = ForwardingFixture::new(&[]).send_to("/nowhere", second).await;
    let after = ForwardingFixture::new(&[]).with_routes().send_to("/nowhere", second).await;
    insta::assert_snapshot!(format!("before: {before}\nafter: {after}"));
}

#[tokio::test(start_paused = true)]
async fn retries_stay_within_their_budget() {
    let behaviors = vec![TargetBehavior::Refuse; 4_000];
    let fixture = ForwardingFixture::new(&behaviors).with_routes();
    for _ in 0..1_000 {
        fixture.send_to("/read/7", Duration::from_secs(1)).await;
    }
    let sent = fixture.targets.sent.lock().unwrap().len();
    assert!(sent <= 1_000 + 1_000 / 5, "{sent} sends for 1000 requests");
}

#[tokio::test(start_paused = true)]
async fn an_older_configuration_never_replaces_a_newer_one() {
    let fixture = ForwardingFixture::new(&[]);
    let applied: Vec<bool> =
        [3, 5, 4, 5, 9].map(|version| fixture.router.activate(RouteTable::new(version))).into();
    assert_eq!(applied, [true, true, false, false, true]);
    assert_eq!(fixture.router.routes().unwrap().version, 9);
}
