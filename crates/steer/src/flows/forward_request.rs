//! One request from its arrival to the head of its answer, straight to a target.

use super::{
    Attempt, AttemptError, Refusal, TRACE_HEADER,
    serve_request::{set_header, trace_of},
};
use crate::{
    Body, BodyFault, BodyLimits, CallerRequest, ErrorKind, NoSeat, ObjectHash, PlaceQuery,
    RepeatRule, Replay, Route, Router, Seat, SendPass, ServiceName, TargetIdentity, TargetReport,
    Verdict, bound_body, hold_until_end,
};
use http::{Request, Response, header::CONTENT_LENGTH};
use http_body::Body as _;
use slog::info;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Most targets that can't be reached before a request is refused; nothing was sent to them.
const MOST_UNREACHED: u32 = 3;
/// Longest time after which a caller is told to try again where no target has room.
const ROOM_WAIT: Duration = Duration::from_secs(1);
/// Least time after which a caller is told to try again: a part of a request's usual work.
const LEAST_ROOM_WAIT: Duration = Duration::from_millis(100);

/// Part of a route's objective that a request may wait at a target. One that waits longer is
/// late, and makes late those behind it.
const PATIENCE: f64 = 0.5;

/// Serves one request: finds its route, places it on a target of the fleet, and sends it again
/// where the route, its budget and the target's verdict allow that.
///
/// # Errors
///
/// A refusal says by its kind whether the request may have run.
pub async fn forward_request(
    router: &Router,
    caller: &CallerRequest,
    mut request: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let mut span = router.ports().tracer.start("forward", trace_of(&request).as_ref());
    set_header(&mut request, TRACE_HEADER, span.context().map(|context| context.traceparent));
    let end = route(router, caller, request).await;
    match &end {
        Ok(response) => span.note("status", response.status().as_str()),
        Err(refusal) => span.note("refused", &refusal.kind.slug()),
    }
    Ok(end?.map(|body| hold_until_end(body, span)))
}

async fn route(
    router: &Router,
    caller: &CallerRequest,
    request: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let arrived = Instant::now();
    let table =
        router.routes().ok_or_else(|| refuse_early(router, caller, ErrorKind::NoSettings))?;
    let route = table
        .find(&caller.host, &caller.path)
        .ok_or_else(|| refuse_early(router, caller, ErrorKind::NoService))?;
    let length = request.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.zip(table.max_body).is_some_and(|(length, most): (u64, u64)| length > most) {
        return Err(refuse_early(router, caller, ErrorKind::BodyTooLarge));
    }
    let service = route.split.choose();
    let wait = caller.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let until = arrived + wait;
    let fault = BodyFault::default();
    let limits = BodyLimits::until(until).bytes(table.max_body.unwrap_or(u64::MAX));
    let request = request.map(|body| limit_body(body, limits, &fault));
    router.note_request(service);
    let forward =
        Forward { arrived, caller, fault, route, router, service, until, version: table.version };
    let end = forward.run(request).await;
    forward.count_end(&end);
    forward.log_end(&end);
    end
}

/// Refuses a request that belongs to no route, and logs it.
fn refuse_early(router: &Router, caller: &CallerRequest, kind: ErrorKind) -> Refusal {
    router.ports().meter.count(&format!("requests.refused.{}", kind.slug()), 1);
    if let Some(dropped) = router.take_line() {
        let version = router.routes().map(|table| table.version);
        info!(router.log(), "request: refused early"; "id" => &*caller.id, "host" => &*caller.host,
            "path" => &*caller.path, "version" => version, "kind" => kind.slug(),
            "outcome" => %kind.answer().outcome, "dropped" => dropped);
    }
    kind.into()
}

fn limit_body(body: Body, limits: BodyLimits, fault: &BodyFault) -> Body {
    if body.is_end_stream() {
        return body;
    }
    bound_body(body, limits, fault.clone())
}

/// Whether a served request is logged: one in 64, the same ones at every VM.
fn is_sampled(id: &str) -> bool {
    xxh3_64(id.as_bytes()).is_multiple_of(64)
}

/// A request on its way.
struct Forward<'a> {
    arrived: Instant,
    caller: &'a CallerRequest,
    /// The request's body broke off or passed a limit.
    fault: BodyFault,
    route: &'a Route,
    router: &'a Router,
    service: &'a ServiceName,
    until: Instant,
    /// Version of the configuration that names the route.
    version: u64,
}

/// Where the next try takes its request from.
enum Supply {
    /// The request can be made any number of times.
    Copies(Replay),
    /// The request streams; it is there until a byte of it was sent.
    Stream(Option<Request<Body>>),
}

impl Supply {
    async fn new(request: Request<Body>, streamed: bool) -> Result<Self, Refusal> {
        if streamed {
            return Ok(Self::Stream(Some(request)));
        }
        match Replay::read(request).await {
            Ok(Ok(replay)) => Ok(Self::Copies(replay)),
            Ok(Err(request)) => Ok(Self::Stream(Some(request))),
            Err(error) => Err(Refusal::new(ErrorKind::RequestInvalid, error.to_string())),
        }
    }

    fn take(&mut self) -> Option<Request<Body>> {
        match self {
            Self::Copies(replay) => Some(replay.request()),
            Self::Stream(request) => request.take(),
        }
    }

    /// Takes back a request of which nothing was sent.
    fn give_back(&mut self, unsent: Request<Body>) {
        if let Self::Stream(request) = self {
            *request = Some(unsent);
        }
    }

    fn is_empty(&self) -> bool {
        matches!(self, Self::Stream(None))
    }
}

/// What became of one try.
enum Tried {
    /// The head of the answer has come.
    Answered(Response<Body>),
    /// The target ran the request and failed.
    Failed(Response<Body>),
    /// The request may have run, and there is no answer to pass on.
    Lost(Refusal),
    /// The target said that it did not run the request.
    NotRun(Refusal),
    /// No byte was sent.
    Unreached(Request<Body>, Refusal),
}

impl Forward<'_> {
    async fn run(&self, request: Request<Body>) -> Result<Response<Body>, Refusal> {
        let mut supply = Supply::new(request, self.route.streamed).await?;
        let object = self.caller.object.as_deref().filter(|_| self.route.sticky);
        let mut query = PlaceQuery::new(self.service.clone())
            .homes(self.route.homes.clone())
            .object(object.map(|object| ObjectHash::new(self.route.name.as_str(), object)))
            .patience(self.route.objective.mul_f64(PATIENCE))
            .streamed(self.route.streamed);
        let (mut sent, mut unreached) = (0, 0);
        let mut last: Option<Refusal> = None;
        while let Some(request) = supply.take() {
            let seat = match self.router.board().place(&query) {
                Ok(seat) => seat,
                Err(reason) => return Err(last.unwrap_or_else(|| self.refuse_room(reason))),
            };
            query.excluded.insert(seat.target().name.clone());
            let refusal = match self.try_target(&seat, request).await {
                Tried::Answered(response) => {
                    return Ok(self.finish(response, seat));
                }
                Tried::Failed(response) => {
                    sent += 1;
                    let again = self.route.repeat == RepeatRule::Idempotent
                        && sent < self.route.attempts
                        && !supply.is_empty()
                        && self.may_retry();
                    if !again {
                        return Ok(self.finish(response, seat));
                    }
                    continue;
                }
                Tried::Unreached(request, refusal) => {
                    supply.give_back(request);
                    unreached += 1;
                    if unreached < MOST_UNREACHED {
                        last = Some(refusal);
                        continue;
                    }
                    return Err(refusal);
                }
                Tried::Lost(refusal) if self.route.repeat != RepeatRule::Idempotent => {
                    return Err(refusal);
                }
                Tried::Lost(refusal) | Tried::NotRun(refusal) => refusal,
            };
            sent += 1;
            if sent >= self.route.attempts.max(1) || supply.is_empty() || !self.may_retry() {
                return Err(refusal);
            }
            last = Some(refusal);
        }
        Err(last.unwrap_or_else(|| ErrorKind::NoRoom.into()))
    }

    /// Passes an answer on for as long as the request may take.
    fn finish(&self, response: Response<Body>, seat: Seat) -> Response<Body> {
        let limits = BodyLimits::until(self.until);
        response.map(|body| hold_until_end(limit_body(body, limits, &BodyFault::default()), seat))
    }

    fn may_retry(&self) -> bool {
        if Instant::now() >= self.until {
            return false;
        }
        let taken = self.router.take_retry(self.service);
        let name = if taken { "retry.sent" } else { "retry.denied" };
        self.router.ports().meter.count(name, 1);
        taken
    }

    fn refuse_room(&self, reason: NoSeat) -> Refusal {
        let wait = match reason {
            NoSeat::Full(wait) => wait.clamp(LEAST_ROOM_WAIT, ROOM_WAIT),
            NoSeat::NoTarget => ROOM_WAIT,
        };
        Refusal::new(ErrorKind::NoRoom, reason.to_string()).retry_after(wait)
    }

    /// Sends the request to a target and reads what its answer's head says.
    async fn try_target(&self, seat: &Seat, mut request: Request<Body>) -> Tried {
        let target = seat.target();
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Tried::Lost(ErrorKind::DeadlinePassed.into());
        }
        let identity = TargetIdentity { left, name: target.name.clone() };
        request.extensions_mut().insert(identity);
        let Some(pass) = SendPass::repeatable(self.route.repeat) else {
            return Tried::NotRun(ErrorKind::KeyMissing.into());
        };
        let attempt = Attempt::new(request).clear(pass);
        let outcome = attempt.send(&*self.router.ports().targets, target.address, left).await;
        match outcome {
            Ok(answered) => self.judge(seat, answered.into_response()),
            Err(AttemptError::NotSent(attempt, reason)) => {
                seat.note_lost();
                self.log_try(seat, &reason);
                let refusal = Refusal::new(ErrorKind::NoRoom, reason).retry_after(ROOM_WAIT);
                Tried::Unreached(attempt.into_request(), refusal)
            }
            Err(AttemptError::Sent(sent, _)) if self.fault.is_set() => {
                let in_time = Instant::now() < self.until;
                let kind = if in_time { ErrorKind::BodyCut } else { ErrorKind::DeadlinePassed };
                self.log_try(seat, &kind);
                Tried::Lost(sent.refuse_unknown(kind))
            }
            Err(AttemptError::Sent(sent, kind)) => {
                if kind != ErrorKind::DeadlinePassed {
                    seat.note_lost();
                }
                self.log_try(seat, &kind);
                Tried::Lost(sent.refuse_unknown(kind))
            }
        }
    }

    fn judge(&self, seat: &Seat, response: Response<Body>) -> Tried {
        let report = response.extensions().get::<TargetReport>().copied();
        let (load, verdict) = report.map_or((None, Verdict::Ran), |r| (r.load, r.verdict));
        let failed = response.status().is_server_error();
        seat.note_answer(load, failed);
        match verdict {
            Verdict::Ran if failed => Tried::Failed(response),
            Verdict::Ran => {
                seat.note_work();
                Tried::Answered(response)
            }
            Verdict::NotRun => {
                self.log_try(seat, &"the target refused");
                Tried::NotRun(Refusal::from(ErrorKind::TargetRefused).retry_after(ROOM_WAIT))
            }
            Verdict::Misdirected => {
                seat.note_gone();
                self.log_try(seat, &"another target has the address");
                Tried::NotRun(Refusal::from(ErrorKind::TargetRefused).retry_after(LEAST_ROOM_WAIT))
            }
        }
    }

    fn log_try(&self, seat: &Seat, reason: &impl std::fmt::Display) {
        self.router.ports().meter.count("attempts.failed", 1);
        let Some(dropped) = self.router.take_line() else { return };
        info!(self.router.log(), "request: try failed";
            "id" => &*self.caller.id, "route" => %self.route.name, "target" => %seat.target().name,
            "report" => seat.target().report, "crowd" => seat.crowd(),
            "after_ms" => self.elapsed_ms(), "reason" => %reason, "dropped" => dropped);
    }

    fn count_end(&self, end: &Result<Response<Body>, Refusal>) {
        let meter = &self.router.ports().meter;
        let name = match end {
            Ok(response) if response.status().is_server_error() => "requests.failed".to_owned(),
            Ok(_) => "requests.served".to_owned(),
            Err(refusal) => format!("requests.refused.{}", refusal.kind.slug()),
        };
        meter.count(&name, 1);
        meter.time("requests.time", self.arrived.elapsed());
    }

    /// Logs each request without a good answer, and some of the others.
    fn log_end(&self, end: &Result<Response<Body>, Refusal>) {
        match end {
            Ok(response) => {
                let failed = response.status().is_server_error();
                if !failed && !is_sampled(&self.caller.id) {
                    return;
                }
                let Some(dropped) = self.router.take_line() else { return };
                let text = if failed { "request: failed at its target" } else { "request: served" };
                info!(self.router.log(), "{text}"; "id" => &*self.caller.id,
                    "route" => %self.route.name, "service" => %self.service,
                    "version" => self.version, "status" => response.status().as_u16(),
                    "after_ms" => self.elapsed_ms(), "dropped" => dropped);
            }
            Err(refusal) => {
                let Some(dropped) = self.router.take_line() else { return };
                info!(self.router.log(), "request: refused"; "id" => &*self.caller.id,
                    "route" => %self.route.name, "service" => %self.service,
                    "version" => self.version, "kind" => refusal.kind.slug(),
                    "outcome" => %refusal.answer().outcome, "detail" => &refusal.detail,
                    "after_ms" => self.elapsed_ms(), "dropped" => dropped);
            }
        }
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
