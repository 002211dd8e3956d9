//! One attempt to run a request, as a typestate.

use super::REQUEST_ID_HEADER;
use crate::{Body, ErrorKind, Peers, Refusal, SendError, SendPermit, TargetReport, Targets};
use http::{Request, Response};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// No byte of the request has been sent.
#[derive(Debug)]
pub struct Unsent {
    request: Request<Body>,
}

/// No byte has been sent, and sending is permitted.
#[derive(Debug)]
pub struct Cleared {
    request: Request<Body>,
}

/// The request may have run.
#[derive(Debug)]
pub struct Sent {
    /// Whether the connection ended before a response.
    ended: bool,
    /// Description from the transport.
    reason: Option<String>,
    /// What the target said of itself in a response that can't be passed on.
    report: Option<TargetReport>,
}

/// The head of the response has arrived.
#[derive(Debug)]
pub struct Answered {
    response: Response<Body>,
}

/// How an attempt failed.
#[derive(Debug)]
pub enum AttemptError {
    /// Nothing was sent; the request can be sent elsewhere.
    NotSent(Attempt<Unsent>, String),
    /// The request may have run.
    Sent(Attempt<Sent>, ErrorKind),
}

/// One attempt to run a request. Only an unsent attempt can be refused as "not run":
///
/// ```compile_fail,E0599
/// fn refuse(attempt: steer::Attempt<steer::Sent>) -> steer::Refusal {
///     attempt.refuse_not_run(steer::ErrorKind::NoRoom)
/// }
/// ```
///
/// A sent attempt doesn't return its request, so the request can't be sent again:
///
/// ```compile_fail,E0599
/// fn again(attempt: steer::Attempt<steer::Sent>) -> http::Request<steer::Body> {
///     attempt.into_request()
/// }
/// ```
///
/// An attempt without a `SendPermit`, such as one for a claimed idempotency key, can't be sent:
///
/// ```compile_fail,E0599
/// async fn send(attempt: steer::Attempt<steer::Unsent>, targets: &dyn steer::Targets) {
///     let wait = std::time::Duration::from_secs(1);
///     let _ = attempt.send(targets, "127.0.0.1:1".parse().unwrap(), wait).await;
/// }
/// ```
#[derive(Debug)]
pub struct Attempt<S> {
    state: S,
}

impl Attempt<Unsent> {
    /// Creates an attempt for a request of which nothing has been sent.
    ///
    /// ```
    /// let attempt = steer::Attempt::new(http::Request::new(steer::empty_body()));
    /// let refusal = attempt.refuse_not_run(steer::ErrorKind::NoRoom);
    /// assert_eq!(refusal.answer().outcome, steer::Outcome::NotRun);
    /// ```
    pub fn new(request: Request<Body>) -> Self {
        Self { state: Unsent { request } }
    }

    /// Refuses the request, which is known not to have run.
    pub fn refuse_not_run(self, kind: ErrorKind) -> Refusal {
        Refusal::from(kind)
    }

    /// Returns `true` if the request has no body.
    pub fn is_bodyless(&self) -> bool {
        http_body::Body::is_end_stream(self.state.request.body())
    }

    /// Returns the request, so that it can be handed off to a peer.
    pub fn into_request(self) -> Request<Body> {
        self.state.request
    }

    /// Permits the request to be sent to a target.
    ///
    /// ```
    /// use steer::{Attempt, RepeatRule, SendPermit, empty_body};
    /// let permit = SendPermit::repeatable(RepeatRule::Idempotent).unwrap();
    /// let attempt = Attempt::new(http::Request::new(empty_body())).clear(permit);
    /// assert!(format!("{attempt:?}").contains("Cleared"));
    /// ```
    pub fn clear(self, _permit: SendPermit) -> Attempt<Cleared> {
        Attempt { state: Cleared { request: self.state.request } }
    }

    /// Hands the request off to a peer, and waits up to `wait` for the head of the response. If the
    /// peer refuses the request, its response states whether the request ran.
    ///
    /// # Errors
    ///
    /// `NotSent` returns the attempt; after `Sent` the request may have run.
    pub async fn hand_off(
        self,
        peers: &dyn Peers,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<Attempt<Answered>, AttemptError> {
        let id = self.state.request.headers().get(REQUEST_ID_HEADER).cloned();
        let sending = peers.hand_off(address, self.state.request);
        let answered = wait_for_head(sending, wait).await?;
        if answered.state.response.headers().get(REQUEST_ID_HEADER) != id.as_ref() {
            return Err(Attempt::lost(ErrorKind::AnswerCrossed));
        }
        Ok(answered)
    }
}

impl Attempt<Cleared> {
    /// Sends the request to a target, and waits up to `wait` for the head of the response.
    ///
    /// # Errors
    ///
    /// `NotSent` returns the attempt; after `Sent` the request may have run.
    pub async fn send(
        self,
        targets: &dyn Targets,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<Attempt<Answered>, AttemptError> {
        let id = self.state.request.headers().get(REQUEST_ID_HEADER).cloned();
        let answered = wait_for_head(targets.send(address, self.state.request), wait).await?;
        let returned = answered.state.response.headers().get(REQUEST_ID_HEADER);
        if returned.is_some() && returned != id.as_ref() {
            return Err(Attempt::lost(ErrorKind::AnswerCrossed));
        }
        Ok(answered)
    }
}

async fn wait_for_head(
    sending: impl Future<Output = Result<Response<Body>, SendError>>,
    wait: Duration,
) -> Result<Attempt<Answered>, AttemptError> {
    match timeout(wait, sending).await {
        Err(_) => Err(Attempt::lost(ErrorKind::DeadlinePassed)),
        Ok(Err(SendError::NotSent { reason, request })) => {
            Err(AttemptError::NotSent(Attempt::new(*request), reason))
        }
        Ok(Err(SendError::Sent { ended, reason, report })) => {
            let state = Sent { ended, reason: Some(reason), report };
            Err(AttemptError::Sent(Attempt { state }, ErrorKind::TargetFailed))
        }
        Ok(Ok(response)) => Ok(Attempt { state: Answered { response } }),
    }
}

impl Attempt<Sent> {
    /// Creates the error for a request that was sent and may have run.
    pub(super) fn lost(kind: ErrorKind) -> AttemptError {
        AttemptError::Sent(Self { state: Sent { ended: false, reason: None, report: None } }, kind)
    }

    /// Returns whether the connection ended before a response.
    pub fn connection_ended(&self) -> bool {
        self.state.ended
    }

    /// Returns the description from the transport, if there is one.
    pub fn reason(&self) -> Option<&str> {
        self.state.reason.as_deref()
    }

    /// Returns what the target said of itself in a response that can't be passed on.
    pub fn report(&self) -> Option<TargetReport> {
        self.state.report
    }

    /// Refuses the request, which may have run.
    pub fn refuse_unknown(self, kind: ErrorKind) -> Refusal {
        Refusal::from(kind)
    }
}

impl Attempt<Answered> {
    /// Returns a reference to the response.
    pub fn response(&self) -> &Response<Body> {
        &self.state.response
    }

    /// Returns the response.
    pub fn into_response(self) -> Response<Body> {
        self.state.response
    }
}
