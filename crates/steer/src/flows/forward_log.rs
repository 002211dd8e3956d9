//! Logs and counts what becomes of a forwarded request.

use super::{Attempt, Refusal, Sent, forward_request::Forward};
use crate::{
    BeliefSource, Body, ErrorKind, LimitNotice, PauseRequest, PlacementGuard, TargetReport,
};
use http::Response;
use slog::info;
use std::{fmt::Display, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// One of this many served requests is logged.
const SAMPLE_PERIOD: u64 = 64;

/// Returns whether a served request is logged, by its id, so that all VMs log the same requests.
fn is_sampled(id: &str) -> bool {
    xxh3_64(id.as_bytes()).is_multiple_of(SAMPLE_PERIOD)
}

/// Logs a request that is dropped before it has a response, because its caller's connection ended.
pub(super) struct PendingRequest<'a> {
    ended: bool,
    forward: &'a Forward<'a>,
}

impl<'a> PendingRequest<'a> {
    pub(super) fn new(forward: &'a Forward<'a>) -> Self {
        Self { ended: false, forward }
    }

    /// Records that the request has a response.
    pub(super) fn record_end(&mut self) {
        self.ended = true;
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.forward.log_abandoned();
        }
    }
}

impl Forward<'_> {
    /// Applies what a target says about its availability, and logs what is news.
    pub(super) fn record_availability(&self, guard: &PlacementGuard, report: &TargetReport) {
        if report.leaving && guard.record_leaving(report.outcome) {
            self.log_availability("target leaves", "leaving", guard, None);
        }
        self.record_limit(guard, report);
        let Some(pause) = report.pause else { return };
        if let Some(time) = guard.record_pause(pause) {
            let name = match pause {
                PauseRequest::For(_) => "paused",
                PauseRequest::Unclear => "paused_unclear",
            };
            self.log_availability("target pauses", name, guard, Some(time));
        }
    }

    fn record_limit(&self, guard: &PlacementGuard, report: &TargetReport) {
        if report.limit == LimitNotice::Unclear {
            self.router.ports().meter.count("placement.limit_unclear", 1);
        }
        if !guard.record_limit(report.limit, report.outcome) {
            return;
        }
        match report.limit {
            LimitNotice::PerSecond(rate) => {
                let text = format!("target limits requests to {rate:.3} a second");
                self.log_availability(&text, "limited", guard, None);
            }
            LimitNotice::Absent | LimitNotice::Unclear => {
                self.log_availability("target ends its limit", "unlimited", guard, None);
            }
        }
    }

    pub(super) fn log_return(&self, guard: &PlacementGuard) {
        if let Some(pause) = guard.ended_pause() {
            let time = pause.since.elapsed();
            self.log_availability("target returns", "returned", guard, Some(time));
        }
    }

    fn log_availability(
        &self,
        text: &str,
        counter: &str,
        guard: &PlacementGuard,
        time: Option<Duration>,
    ) {
        self.router.ports().meter.count(&format!("placement.{counter}"), 1);
        let log = self.router.target_log();
        let Some(dropped) = log.try_acquire_line() else { return };
        let target = guard.target();
        let time = time.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
        info!(log.log(), "placement: {text}"; "target" => %target.name,
            "born" => target.born, "source" => %BeliefSource::Response, "for_ms" => time,
            "id" => &*self.caller.id, "dropped" => dropped);
    }

    pub(super) fn log_failed_attempt(&self, guard: &PlacementGuard, reason: &impl Display) {
        self.router.ports().meter.count("attempts.failed", 1);
        let Some(dropped) = self.router.try_acquire_log_line() else { return };
        info!(self.router.log(), "request: try failed";
            "id" => &*self.caller.id, "route" => %self.route.name, "target" => %guard.target().name,
            "report" => guard.target().sequence, "crowd" => guard.oversubscription(),
            "after_ms" => self.elapsed_ms(), "reason" => %reason, "dropped" => dropped);
    }

    /// Logs a request that may have run, with the description from the transport.
    pub(super) fn log_lost_attempt(
        &self,
        guard: &PlacementGuard,
        sent: &Attempt<Sent>,
        kind: ErrorKind,
    ) {
        match sent.reason() {
            Some(reason) => self.log_failed_attempt(guard, &format_args!("{kind}: {reason}")),
            None => self.log_failed_attempt(guard, &kind),
        }
    }

    fn log_abandoned(&self) {
        self.router.ports().meter.count("requests.abandoned", 1);
        let Some(dropped) = self.router.try_acquire_log_line() else { return };
        info!(self.router.log(), "request: abandoned"; "id" => &*self.caller.id,
            "route" => %self.route.name, "service" => %self.service, "version" => self.version,
            "after_ms" => self.elapsed_ms(), "dropped" => dropped);
    }

    pub(super) fn count_result(&self, result: &Result<Response<Body>, Refusal>) {
        let meter = &self.router.ports().meter;
        let name = match result {
            Ok(response) if response.status().is_server_error() => "requests.failed".to_owned(),
            Ok(_) => "requests.served".to_owned(),
            Err(refusal) => format!("requests.refused.{}", refusal.kind.slug()),
        };
        meter.count(&name, 1);
        meter.time("requests.time", self.arrived.elapsed());
    }

    /// Logs each failed or refused request, and a sample of the others.
    pub(super) fn log_result(&self, result: &Result<Response<Body>, Refusal>) {
        match result {
            Ok(response) => {
                let failed = response.status().is_server_error();
                if !failed && !is_sampled(&self.caller.id) {
                    return;
                }
                let Some(dropped) = self.router.try_acquire_log_line() else { return };
                let text = if failed { "request: failed at its target" } else { "request: served" };
                info!(self.router.log(), "{text}"; "id" => &*self.caller.id,
                    "route" => %self.route.name, "service" => %self.service,
                    "version" => self.version, "status" => response.status().as_u16(),
                    "after_ms" => self.elapsed_ms(), "dropped" => dropped);
            }
            Err(refusal) => {
                let Some(dropped) = self.router.try_acquire_log_line() else { return };
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
