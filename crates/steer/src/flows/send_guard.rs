//! Checks before a request is sent to a target, and the claim of its idempotency key.

use super::{
    Attempt, Call, Cleared, OUTCOME_HEADER, Refusal, Unsent,
    answer_from_record::answer_from_record,
    recorded_body::{ResponseRecorder, record_answer},
    serve_request::outcome_of,
};
use crate::{
    Answered, Body, Claim, Claimed, EntryNode, ErrorKind, KeyOwner, KeyState, OnceKey, Outcome,
    SendPermit, SuspectGuard, TargetName, Unsettled,
};
use http::{HeaderValue, Response};
use slog::warn;
use std::{mem, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Time for which a request that was alone on a target when the target failed stays its only
/// suspect.
const BLAME_WINDOW: Duration = Duration::from_secs(1);

/// State of this VM's claim to the request's idempotency key.
#[derive(Debug)]
enum KeyClaim {
    /// Claimed, but nothing has been sent.
    Claimed(OnceKey<Claimed>),
    /// Not claimed.
    Absent,
    /// Claimed, and the request was sent, so it may have run.
    Sent(OnceKey<Claimed>),
}

/// Enforces the guarantees for one request while it is sent: its key is claimed before the first
/// byte, its outcome is recorded, and a target that fails while running it is counted against it.
///
/// Dropping the guard early releases a claim that wasn't used, and records the outcome as unknown
/// if the request was sent.
#[derive(Debug)]
pub(super) struct SendGuard<'a> {
    suspect_guard: Option<SuspectGuard>,
    call: &'a Call,
    key_claim: KeyClaim,
    node: &'a EntryNode,
    target: Option<TargetName>,
}

impl<'a> SendGuard<'a> {
    pub(super) fn new(node: &'a EntryNode, call: &'a Call) -> Self {
        Self { call, key_claim: KeyClaim::Absent, node, suspect_guard: None, target: None }
    }

    /// Permits the attempt to be sent to a target. If the request must not be sent, the error holds
    /// the answer to give instead.
    pub(super) async fn clear(
        &mut self,
        attempt: Attempt<Unsent>,
        target: &TargetName,
    ) -> Result<Attempt<Cleared>, Result<Response<Body>, Refusal>> {
        self.suspect_guard = None;
        self.target = Some(target.clone());
        let (poison, fingerprint) = (self.node.poison(), self.call.fingerprint);
        let Ok(guard) = poison.lock_target(fingerprint, target, self.call.deadline).await else {
            return Err(Err(self.refuse(attempt, ErrorKind::DeadlineTooShort).await));
        };
        self.suspect_guard = guard;
        if poison.is_refused(fingerprint) {
            return Err(Err(self.refuse(attempt, ErrorKind::Poisoned).await));
        }
        if let Some(permit) = SendPermit::repeatable(self.call.settings.repeat) {
            return Ok(attempt.clear(permit));
        }
        let key = match self.claim().await {
            Ok(key) => key,
            Err(Ok(known)) => return Err(answer_from_record(known)),
            Err(Err(kind)) => return Err(Err(attempt.refuse_not_run(kind))),
        };
        if self.call.time_left().is_zero() {
            self.key_claim = KeyClaim::Claimed(key);
            return Err(Err(self.refuse(attempt, ErrorKind::DeadlineTooShort).await));
        }
        let permit = key.permit();
        self.key_claim = KeyClaim::Sent(key);
        Ok(attempt.clear(permit))
    }

    /// Claims the key of an at-most-once request before the request has a slot. If the request must
    /// not be sent, the error holds the answer to give instead.
    pub(super) async fn claim_early(
        &mut self,
        attempt: Attempt<Unsent>,
    ) -> Result<Attempt<Unsent>, Result<Response<Body>, Refusal>> {
        if SendPermit::repeatable(self.call.settings.repeat).is_some() {
            return Ok(attempt);
        }
        match self.claim_first().await {
            Ok(key) => {
                self.key_claim = KeyClaim::Claimed(key);
                Ok(attempt)
            }
            Err(Ok(known)) => Err(answer_from_record(known)),
            Err(Err(kind)) => Err(Err(attempt.refuse_not_run(kind))),
        }
    }

    /// Claims the key, unless an earlier attempt left an unused claim, and confirms the claim.
    async fn claim(&mut self) -> Result<OnceKey<Claimed>, Result<KeyState, ErrorKind>> {
        let key = match mem::replace(&mut self.key_claim, KeyClaim::Absent) {
            KeyClaim::Claimed(key) | KeyClaim::Sent(key) => key,
            KeyClaim::Absent => self.claim_first().await?,
        };
        let (clock, platform) = (&self.node.ports().clock, &self.node.ports().platform);
        key.confirm(&**platform, || clock.now(), self.call.deadline).await.map_err(|unsettled| {
            self.release_later(unsettled);
            Err(ErrorKind::PlatformDown)
        })
    }

    /// Claims a key for which this VM has no claim yet.
    async fn claim_first(&self) -> Result<OnceKey<Claimed>, Result<KeyState, ErrorKind>> {
        let key = self.call.once_key().ok_or(Err(ErrorKind::KeyMissing))?;
        let (clock, platform) = (&self.node.ports().clock, &self.node.ports().platform);
        if !key.is_open(clock.now()) {
            return Err(Err(ErrorKind::KeyExpired));
        }
        let vm = self.node.vm();
        let owner = KeyOwner { incarnation: vm.incarnation, vm: vm.name.clone() };
        let claim = key.claim(&**platform, &owner, || clock.now(), self.call.deadline).await;
        match claim {
            Claim::Known(state) => Err(Ok(state)),
            Claim::Reused => Err(Err(ErrorKind::KeyReused)),
            Claim::Unsettled(key) => {
                self.release_later(key);
                Err(Err(ErrorKind::PlatformDown))
            }
            Claim::Won(key) => Ok(key),
        }
    }

    /// Marks the claim as unused, so that the next attempt can use it.
    pub(super) fn mark_unsent(&mut self) {
        self.key_claim = match mem::replace(&mut self.key_claim, KeyClaim::Absent) {
            KeyClaim::Sent(key) => KeyClaim::Claimed(key),
            other => other,
        };
    }

    /// Releases the claim of a request that wasn't sent, and returns the refusal.
    pub(super) async fn refuse(&mut self, attempt: Attempt<Unsent>, kind: ErrorKind) -> Refusal {
        self.release_unused().await;
        attempt.refuse_not_run(kind)
    }

    /// Releases the claim if the request wasn't sent.
    pub(super) async fn release_unused(&mut self) {
        if let KeyClaim::Claimed(key) = mem::replace(&mut self.key_claim, KeyClaim::Absent) {
            self.release(key.abandon()).await;
        }
    }

    /// Sets the outcome header of the answer, and records the outcome when the answer's body ends.
    pub(super) async fn on_answer(mut self, attempt: Attempt<Answered>) -> Response<Body> {
        let mut response = attempt.into_response();
        if !response.headers().contains_key(OUTCOME_HEADER) {
            response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
        }
        let outcome = outcome_of(&response);
        let KeyClaim::Sent(key) = mem::replace(&mut self.key_claim, KeyClaim::Absent) else {
            return response;
        };
        match outcome {
            Outcome::NotRun => {
                self.release(key.abandon()).await;
                response
            }
            Outcome::Ran => record_answer(response, self.recorder(key)),
            Outcome::Unknown => {
                self.recorder(key).finish(KeyState::Unknown);
                response
            }
        }
    }

    /// Handles a failed attempt after which the request may have run, and returns the error kind.
    /// If the target failed, this counts as a crash by the request.
    pub(super) fn on_failure(mut self, kind: ErrorKind) -> ErrorKind {
        if self.call.fault.is_set() {
            return ErrorKind::BodyCut;
        }
        if let (ErrorKind::TargetFailed, Some(target)) = (kind, &self.target) {
            warn!(self.node.log(), "request: its target ended the connection";
                "target" => %target, "fingerprint" => %self.call.fingerprint);
            self.node.poison().record_crash(
                self.call.fingerprint,
                target,
                self.suspect_guard.is_some(),
            );
            self.node.ports().meter.count("poison.strikes", 1);
            if let Some(guard) = self.suspect_guard.take() {
                tokio::spawn(async move {
                    sleep(BLAME_WINDOW).await;
                    drop(guard);
                });
            }
        }
        kind
    }

    fn recorder(&self, key: OnceKey<Claimed>) -> ResponseRecorder {
        let platform = Arc::clone(&self.node.ports().platform);
        ResponseRecorder { key, platform, work: self.node.work().clone() }
    }

    async fn release(&self, key: OnceKey<Unsettled>) {
        if let Err(key) = key.try_release(&*self.node.ports().platform).await {
            self.release_later(key);
        }
    }

    /// Releases a claim in a background task that a stop doesn't wait for.
    fn release_later(&self, key: OnceKey<Unsettled>) {
        self.node.ports().meter.count("once.releases", 1);
        let platform = Arc::clone(&self.node.ports().platform);
        tokio::spawn(async move { key.release(&*platform).await });
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        match mem::replace(&mut self.key_claim, KeyClaim::Absent) {
            KeyClaim::Claimed(key) => self.release_later(key.abandon()),
            KeyClaim::Absent => {}
            KeyClaim::Sent(key) => self.recorder(key).finish(KeyState::Unknown),
        }
    }
}
