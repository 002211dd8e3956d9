//! Forwards one request directly to a target and returns the head of the response.

use super::{
    Attempt, AttemptError, Refusal, TRACE_HEADER,
    delivered_body::watch_delivery,
    forward_log::PendingRequest,
    request_source::RequestSource,
    run_watch::RunWatch,
    serve_request::{set_header, trace_of},
};
use crate::{
    Body, BodyFault, BodyLimits, CallerRequest, ErrorKind, Fingerprint, ObjectHash, Outcome,
    PlacementError, PlacementGuard, PlacementQuery, RepeatRule, ResponseDeadline, Route, Router,
    SendPermit, ServiceName, SmallBodyError, TargetIdentity, TargetOutcome, TargetReport,
    bound_body, buffer_small_body, hold_until_end,
};
use http::{Method, Request, Response, header::CONTENT_LENGTH};
use http_body::Body as _;
use slog::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Number of unreachable targets after which a request is refused; nothing was sent to them.
const MAX_UNREACHED: u32 = 3;
/// Maximum retry time given to a caller when no target has a free slot.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum retry time given to a caller: a fraction of a request's usual processing time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Fraction of the time until the first target returns over which callers' retries are spread.
const RETURN_SPREAD: f64 = 0.2;
/// Maximum time over which callers' retries are spread.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Multiple of the mean work time within which most requests end.
const WORK_SPREAD: f64 = 1.5;

/// Share of a route's latency objective that a request may wait at a target. A request that waits
/// longer misses the objective and delays the requests behind it.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Serves one request: finds its route, sends it to a target, and retries it where the route, the
/// service's retry budget and the target's outcome allow that.
///
/// # Errors
///
/// The kind of the refusal says whether the request may have run.
pub async fn forward_request(
    router: &Router,
    caller: &CallerRequest,
    mut request: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let mut span = router.ports().tracer.start("forward", trace_of(&request).as_ref());
    set_header(&mut request, TRACE_HEADER, span.context().map(|context| context.traceparent));
    let result = find_route_and_forward(router, caller, request).await;
    match &result {
        Ok(response) => span.record("status", response.status().as_str()),
        Err(refusal) => span.record("refused", &refusal.kind.slug()),
    }
    Ok(result?.map(|body| hold_until_end(body, span)))
}

async fn find_route_and_forward(
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
    // What follows its head belongs to a tunnel, not to a body.
    if request.method() == Method::CONNECT {
        return Err(refuse_early(router, caller, ErrorKind::RequestInvalid));
    }
    let length = request.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.zip(table.max_body).is_some_and(|(length, max): (u64, u64)| length > max) {
        return Err(refuse_early(router, caller, ErrorKind::BodyTooLarge));
    }
    let service = route.split.choose();
    let wait = caller.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let until = arrived + wait;
    if ends_too_late(router, service, until) {
        return Err(refuse_early(router, caller, ErrorKind::Stopping));
    }
    let fault = BodyFault::default();
    let limits = BodyLimits::with_deadline(until).bytes(table.max_body.unwrap_or(u64::MAX));
    let request = request.map(|body| limit_body(body, limits, &fault));
    router.record_request(service);
    let forward =
        Forward { arrived, caller, fault, route, router, service, until, version: table.version };
    let mut pending = PendingRequest::new(&forward);
    let result = forward.run(request).await;
    pending.record_end();
    forward.count_result(&result);
    forward.log_result(&result);
    result
}

/// Returns whether this VM is stopping and its process probably ends before the request: another VM
/// serves it whole.
fn ends_too_late(router: &Router, service: &ServiceName, until: Instant) -> bool {
    let Some(stops_at) = router.stops_at() else { return false };
    let end = Instant::now() + router.target_table().work_time(service).mul_f64(WORK_SPREAD);
    end.min(until) > stops_at
}

/// Refuses a request before any target is chosen, and logs it.
fn refuse_early(router: &Router, caller: &CallerRequest, kind: ErrorKind) -> Refusal {
    router.ports().meter.count(&format!("requests.refused.{}", kind.slug()), 1);
    if let Some(dropped) = router.try_acquire_log_line() {
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

/// A request that is being forwarded.
pub(super) struct Forward<'a> {
    pub(super) arrived: Instant,
    pub(super) caller: &'a CallerRequest,
    /// Set when the request's body ends early or exceeds a limit.
    fault: BodyFault,
    pub(super) route: &'a Route,
    pub(super) router: &'a Router,
    pub(super) service: &'a ServiceName,
    until: Instant,
    /// Version of the configuration that defines the route.
    pub(super) version: u64,
}

/// Result of one attempt.
enum AttemptResult {
    /// The target ran the request; the head of its response has arrived.
    Answered(Response<Body>),
    /// The target ran the request and responded with a server error.
    Failed(Response<Body>),
    /// The request may have run, and there is no response to pass on.
    Lost(Refusal),
    /// The target reported that it didn't run the request.
    NotRun(Refusal),
    /// No byte was sent.
    Unreached(Request<Body>, Refusal),
}

impl Forward<'_> {
    async fn run(&self, request: Request<Body>) -> Result<Response<Body>, Refusal> {
        let budget = self.router.buffer_budget();
        let (mut source, fingerprint) =
            RequestSource::new(request, self.route.streamed, &self.caller.host, budget).await?;
        let object = self.caller.object.as_deref().filter(|_| self.route.sticky);
        let mut query = PlacementQuery::new(self.service.clone())
            .homes(self.route.homes.clone())
            .object(object.map(|object| ObjectHash::new(self.route.name.as_str(), object)))
            .max_wait(self.route.objective.mul_f64(MAX_WAIT_SHARE))
            .streamed(self.route.streamed);
        let (mut sent, mut unreached) = (0, 0);
        let mut last: Option<Refusal> = None;
        while let Some(request) = source.take() {
            if let Err(wait) = self.router.quarantine().check(fingerprint) {
                let refusal = Refusal::from(ErrorKind::Quarantined).retry_after(wait);
                return Err(refusal.after(last));
            }
            let guard = match self.place_request(&query, fingerprint) {
                Ok(guard) => guard,
                Err(reason) => {
                    let refusal = last.unwrap_or_else(|| self.refuse_no_room(&reason));
                    return Err(self.await_return(refusal, query));
                }
            };
            self.log_return(&guard);
            query.excluded.insert(guard.target().name.clone());
            let crash_ports = Arc::clone(self.router.crash_ports());
            let watch = RunWatch::begin(crash_ports, fingerprint, guard.target(), self.until);
            let refusal = match self.try_target(&guard, &watch, request).await {
                AttemptResult::Answered(response) => {
                    return Ok(self.finish(response, guard, watch));
                }
                AttemptResult::Failed(response) => {
                    sent += 1;
                    let retry = self.route.repeat == RepeatRule::Idempotent
                        && sent < self.route.attempts
                        && !source.is_empty()
                        && self.may_retry();
                    if !retry {
                        return Ok(self.finish(response, guard, watch));
                    }
                    watch.record_served();
                    last = Some(Refusal::from(ErrorKind::TargetFailed).after(last));
                    continue;
                }
                AttemptResult::Unreached(request, refusal) => {
                    source.put_back(request);
                    unreached += 1;
                    let refusal = refusal.after(last);
                    if unreached < MAX_UNREACHED {
                        last = Some(refusal);
                        continue;
                    }
                    return Err(self.await_return(refusal, query));
                }
                AttemptResult::Lost(refusal) if self.route.repeat != RepeatRule::Idempotent => {
                    return Err(refusal);
                }
                AttemptResult::Lost(refusal) | AttemptResult::NotRun(refusal) => {
                    refusal.after(last)
                }
            };
            sent += 1;
            if sent >= self.route.attempts.max(1) || source.is_empty() || !self.may_retry() {
                return Err(self.await_return(refusal, query));
            }
            last = Some(refusal);
        }
        Err(last.unwrap_or_else(|| ErrorKind::NoRoom.into()))
    }

    /// Places a request. A suspect of crashing targets avoids those on which other suspects run, if
    /// there is another one for it.
    fn place_request(
        &self,
        query: &PlacementQuery,
        fingerprint: Fingerprint,
    ) -> Result<PlacementGuard, PlacementError> {
        let table = self.router.target_table();
        let occupied = self.router.quarantine().occupied_targets(fingerprint);
        if !occupied.is_empty() {
            let excluded = query.excluded.union(&occupied).cloned().collect();
            let apart = PlacementQuery { excluded, ..query.clone() };
            if let Ok(guard) = table.place_request(&apart) {
                return Ok(guard);
            }
        }
        table.place_request(query)
    }

    /// Passes a response on, and keeps the guard until the body ends.
    fn finish(
        &self,
        mut response: Response<Body>,
        guard: PlacementGuard,
        watch: RunWatch,
    ) -> Response<Body> {
        response.extensions_mut().insert(ResponseDeadline(self.until));
        let (id, log) = (&self.caller.id, self.router.request_log());
        response.map(|body| hold_until_end(watch_delivery(body, id, log, watch), guard))
    }

    fn may_retry(&self) -> bool {
        if Instant::now() >= self.until {
            return false;
        }
        let acquired = self.router.try_acquire_retry(self.service);
        let name = if acquired { "retry.sent" } else { "retry.denied" };
        self.router.ports().meter.count(name, 1);
        acquired
    }

    fn refuse_no_room(&self, reason: &PlacementError) -> Refusal {
        let bounded = |wait: &Duration| (*wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let (cause, wait) = match reason {
            PlacementError::BackOff { wait, .. } => ("back_off", bounded(wait)),
            PlacementError::Full(wait) => ("full", bounded(wait)),
            PlacementError::Limited { wait, .. } => ("limited", *wait),
            PlacementError::NoTarget => ("none", MAX_RETRY_AFTER),
            PlacementError::Paused { wait, .. } => ("paused", *wait),
        };
        self.router.ports().meter.count(&format!("placement.refused.{cause}"), 1);
        Refusal::new(ErrorKind::NoRoom, reason.to_string()).retry_after(wait)
    }

    /// Replaces the retry time of a request that did not run if all targets pause, also those that
    /// were tried: callers return after the first pause, spread over some time.
    fn await_return(&self, refusal: Refusal, query: PlacementQuery) -> Refusal {
        if refusal.answer().outcome != Outcome::NotRun {
            return refusal;
        }
        let query = PlacementQuery { excluded: BTreeSet::new(), ..query };
        let Some(wait) = self.router.target_table().first_return(&query) else { return refusal };
        let spread = wait.mul_f64(RETURN_SPREAD).min(MAX_RETURN_SPREAD);
        let position = xxh3_64(self.caller.id.as_bytes()) as f64 / u64::MAX as f64;
        refusal.retry_after(wait + spread.mul_f64(position))
    }

    /// Sends the request to a target and evaluates the head of the response.
    async fn try_target(
        &self,
        guard: &PlacementGuard,
        watch: &RunWatch,
        mut request: Request<Body>,
    ) -> AttemptResult {
        let target = guard.target();
        let remaining = self.until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return AttemptResult::Lost(ErrorKind::DeadlinePassed.into());
        }
        let identity = TargetIdentity { remaining, name: target.name.clone() };
        request.extensions_mut().insert(identity);
        request.extensions_mut().insert(guard.send_check());
        let Some(permit) = SendPermit::repeatable(self.route.repeat) else {
            return AttemptResult::NotRun(ErrorKind::KeyMissing.into());
        };
        let attempt = Attempt::new(request).clear(permit);
        let outcome = attempt.send(&*self.router.ports().targets, target.address, remaining).await;
        match outcome {
            Ok(answered) => match self.classify_response(guard, answered.into_response()) {
                AttemptResult::Answered(response) => {
                    self.read_small_body(guard, watch, response, AttemptResult::Answered).await
                }
                AttemptResult::Failed(response) => {
                    self.read_small_body(guard, watch, response, AttemptResult::Failed).await
                }
                other => other,
            },
            Err(AttemptError::NotSent(attempt, reason)) => {
                if !guard.record_unsent() {
                    self.router.ports().meter.count("placement.withheld", 1);
                }
                self.log_failed_attempt(guard, &reason);
                let refusal = Refusal::new(ErrorKind::NoRoom, reason).retry_after(MAX_RETRY_AFTER);
                AttemptResult::Unreached(attempt.into_request(), refusal)
            }
            Err(AttemptError::Sent(sent, _)) if self.fault.is_set() => {
                let in_time = Instant::now() < self.until;
                let kind = if in_time { ErrorKind::BodyCut } else { ErrorKind::DeadlinePassed };
                self.log_failed_attempt(guard, &kind);
                AttemptResult::Lost(sent.refuse_unknown(kind))
            }
            Err(AttemptError::Sent(sent, kind)) => {
                if let Some(report) = sent.report() {
                    self.record_availability(guard, &report);
                }
                if kind != ErrorKind::DeadlinePassed {
                    guard.record_lost();
                }
                if sent.connection_ended() {
                    watch.record_lost();
                }
                self.log_lost_attempt(guard, &sent, kind);
                AttemptResult::Lost(sent.refuse_unknown(kind))
            }
        }
    }

    /// Reads a small body before the head of its response is passed on. Once the head is written, a
    /// body that fails ends the caller's connection and the responses that wait behind it.
    async fn read_small_body(
        &self,
        guard: &PlacementGuard,
        watch: &RunWatch,
        response: Response<Body>,
        pass_on: fn(Response<Body>) -> AttemptResult,
    ) -> AttemptResult {
        let error = match buffer_small_body(response, self.until, self.router.buffer_budget()).await
        {
            Ok(response) => return pass_on(response),
            Err(error) => error,
        };
        self.log_failed_attempt(guard, &error);
        let kind = match error {
            SmallBodyError::Broken(_) => {
                guard.record_lost();
                watch.record_lost();
                ErrorKind::AnswerCut
            }
            SmallBodyError::Late => ErrorKind::DeadlinePassed,
        };
        AttemptResult::Lost(Refusal::new(kind, error.to_string()))
    }

    fn classify_response(&self, guard: &PlacementGuard, response: Response<Body>) -> AttemptResult {
        let report = response.extensions().get::<TargetReport>().copied();
        let report = report.unwrap_or_else(|| TargetReport::new(TargetOutcome::Ran));
        let failed = response.status().is_server_error();
        guard.record_response(report.load, failed);
        self.record_availability(guard, &report);
        match report.outcome {
            TargetOutcome::Ran if failed => AttemptResult::Failed(response),
            TargetOutcome::Ran => {
                guard.record_work();
                AttemptResult::Answered(response)
            }
            TargetOutcome::NotRun => {
                self.log_failed_attempt(guard, &"the target refused the request");
                AttemptResult::NotRun(
                    Refusal::from(ErrorKind::TargetRefused).retry_after(MAX_RETRY_AFTER),
                )
            }
            TargetOutcome::Misdirected => {
                guard.record_misdirected();
                self.log_failed_attempt(guard, &"the address now belongs to another target");
                AttemptResult::NotRun(
                    Refusal::from(ErrorKind::TargetRefused).retry_after(MIN_RETRY_AFTER),
                )
            }
        }
    }
}
