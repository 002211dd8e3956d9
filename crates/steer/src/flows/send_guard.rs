//! What stands between a free slot and the first byte to a target.

use super::{
    Attempt, Call, Cleared, OUTCOME_HEADER, Refusal, Unsent,
    known_answer::known_answer,
    recorded_body::{Recorder, record_answer},
    serve_request::outcome_of,
};
use crate::{
    Alone, Answered, Body, Claim, Claimed, EntryNode, ErrorKind, KeyOwner, KeyState, OnceKey,
    Outcome, SendPass, TargetName, Unsettled,
};
use http::{HeaderValue, Response};
use slog::warn;
use std::{mem, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Time for which a suspect that ended its target is the only one to blame for it.
const BLAME_WAIT: Duration = Duration::from_secs(1);

/// What is held of the request's idempotency key.
#[derive(Debug)]
enum Held {
    /// The claim, of which nothing was sent.
    Claimed(OnceKey<Claimed>),
    /// Nothing.
    Nothing,
    /// The claim of a request that may have run.
    Sent(OnceKey<Claimed>),
}

/// Keeps the promises about one request while it is sent: its key is claimed before the first
/// byte, its outcome is recorded, and a target that it ends is noted.
///
/// Where it is dropped before the end, a claim that was not used is released.
#[derive(Debug)]
pub(super) struct SendGuard<'a> {
    alone: Option<Alone>,
    call: &'a Call,
    held: Held,
    node: &'a EntryNode,
    target: Option<TargetName>,
}

impl<'a> SendGuard<'a> {
    pub(super) fn new(node: &'a EntryNode, call: &'a Call) -> Self {
        Self { alone: None, call, held: Held::Nothing, node, target: None }
    }

    /// Gives leave to send to a target, or the answer where the request must not be sent.
    pub(super) async fn clear(
        &mut self,
        attempt: Attempt<Unsent>,
        target: &TargetName,
    ) -> Result<Attempt<Cleared>, Result<Response<Body>, Refusal>> {
        self.alone = None;
        self.target = Some(target.clone());
        let (poison, print) = (self.node.poison(), self.call.print);
        let Ok(alone) = poison.wait_alone(print, target, self.call.deadline).await else {
            return Err(Err(self.refuse(attempt, ErrorKind::DeadlineTooShort).await));
        };
        self.alone = alone;
        if poison.refuses(print) {
            return Err(Err(self.refuse(attempt, ErrorKind::Poisoned).await));
        }
        if let Some(pass) = SendPass::repeatable(self.call.rule.repeat) {
            return Ok(attempt.clear(pass));
        }
        let key = match self.claim().await {
            Ok(key) => key,
            Err(Ok(known)) => return Err(known_answer(known)),
            Err(Err(kind)) => return Err(Err(attempt.refuse_not_run(kind))),
        };
        if self.call.time_left().is_zero() {
            self.held = Held::Claimed(key);
            return Err(Err(self.refuse(attempt, ErrorKind::DeadlineTooShort).await));
        }
        let pass = key.pass();
        self.held = Held::Sent(key);
        Ok(attempt.clear(pass))
    }

    /// Claims the key of a request that runs at most once while no slot is held for it, or gives
    /// the answer where the request must not be sent.
    pub(super) async fn prepare(
        &mut self,
        attempt: Attempt<Unsent>,
    ) -> Result<Attempt<Unsent>, Result<Response<Body>, Refusal>> {
        if SendPass::repeatable(self.call.rule.repeat).is_some() {
            return Ok(attempt);
        }
        match self.claim_first().await {
            Ok(key) => {
                self.held = Held::Claimed(key);
                Ok(attempt)
            }
            Err(Ok(known)) => Err(known_answer(known)),
            Err(Err(kind)) => Err(Err(attempt.refuse_not_run(kind))),
        }
    }

    /// Claims the key, or confirms the claim that an attempt before left unused.
    async fn claim(&mut self) -> Result<OnceKey<Claimed>, Result<KeyState, ErrorKind>> {
        let key = match mem::replace(&mut self.held, Held::Nothing) {
            Held::Claimed(key) | Held::Sent(key) => key,
            Held::Nothing => self.claim_first().await?,
        };
        let (clock, platform) = (&self.node.ports().clock, &self.node.ports().platform);
        key.confirm(&**platform, || clock.now(), self.call.deadline).await.map_err(|lost| {
            self.release_later(lost);
            Err(ErrorKind::PlatformDown)
        })
    }

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
            Claim::Unsettled(lost) => {
                self.release_later(lost);
                Err(Err(ErrorKind::PlatformDown))
            }
            Claim::Won(key) => Ok(key),
        }
    }

    /// Notes that nothing was sent, so that the claim serves the next attempt.
    pub(super) fn not_sent(&mut self) {
        self.held = match mem::replace(&mut self.held, Held::Nothing) {
            Held::Sent(key) => Held::Claimed(key),
            other => other,
        };
    }

    /// Refuses a request of which nothing was sent, after its claim is released.
    pub(super) async fn refuse(&mut self, attempt: Attempt<Unsent>, kind: ErrorKind) -> Refusal {
        self.give_up().await;
        attempt.refuse_not_run(kind)
    }

    /// Releases a claim of which nothing was sent.
    pub(super) async fn give_up(&mut self) {
        if let Held::Claimed(key) = mem::replace(&mut self.held, Held::Nothing) {
            self.release(key.give_up()).await;
        }
    }

    /// Marks the answer with its outcome, and records the outcome once the answer has ended.
    pub(super) async fn answered(mut self, attempt: Attempt<Answered>) -> Response<Body> {
        let mut response = attempt.into_response();
        if !response.headers().contains_key(OUTCOME_HEADER) {
            response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
        }
        let outcome = outcome_of(&response);
        let Held::Sent(key) = mem::replace(&mut self.held, Held::Nothing) else { return response };
        match outcome {
            Outcome::NotRun => {
                self.release(key.give_up()).await;
                response
            }
            Outcome::Ran => record_answer(response, self.recorder(key)),
            Outcome::Unknown => {
                self.recorder(key).finish(KeyState::Unknown);
                response
            }
        }
    }

    /// Notes what a target came to whose request may have run; gives the kind of the failure.
    pub(super) fn failed(mut self, kind: ErrorKind) -> ErrorKind {
        if self.call.fault.is_set() {
            return ErrorKind::BodyCut;
        }
        if let (ErrorKind::TargetFailed, Some(target)) = (kind, &self.target) {
            warn!(self.node.log(), "request: its target ended the connection";
                "target" => %target, "fingerprint" => %self.call.print);
            self.node.poison().blame(self.call.print, target, self.alone.is_some());
            self.node.ports().meter.count("poison.strikes", 1);
            if let Some(alone) = self.alone.take() {
                tokio::spawn(async move {
                    sleep(BLAME_WAIT).await;
                    drop(alone);
                });
            }
        }
        kind
    }

    fn recorder(&self, key: OnceKey<Claimed>) -> Recorder {
        let platform = Arc::clone(&self.node.ports().platform);
        Recorder { key, platform, work: self.node.work().clone() }
    }

    async fn release(&self, key: OnceKey<Unsettled>) {
        if let Err(key) = key.try_release(&*self.node.ports().platform).await {
            self.release_later(key);
        }
    }

    /// Releases in the background; a stop doesn't wait for it.
    fn release_later(&self, key: OnceKey<Unsettled>) {
        self.node.ports().meter.count("once.releases", 1);
        let platform = Arc::clone(&self.node.ports().platform);
        tokio::spawn(async move { key.release(&*platform).await });
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        match mem::replace(&mut self.held, Held::Nothing) {
            Held::Claimed(key) => self.release_later(key.give_up()),
            Held::Nothing => {}
            Held::Sent(key) => self.recorder(key).finish(KeyState::Unknown),
        }
    }
}
