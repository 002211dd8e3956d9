//! One attempt to run a request, as a typestate.

use crate::{Body, ErrorKind, Refusal, SendError, Targets};
use http::{Request, Response};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// No byte of the request has left this VM.
#[derive(Debug)]
pub struct Unsent {
    request: Request<Body>,
}

/// The request may have run.
#[derive(Debug)]
pub struct Sent;

/// The head of the answer has come.
#[derive(Debug)]
pub struct Answered {
    response: Response<Body>,
}

/// How an attempt failed.
#[derive(Debug)]
pub enum AttemptError {
    /// Nothing was sent; the attempt can be made elsewhere.
    NotSent(Attempt<Unsent>, String),
    /// The request may have run.
    Sent(Attempt<Sent>, ErrorKind),
}

/// One attempt to run a request. Only an unsent attempt can be refused as "not run":
///
/// ```compile_fail
/// fn refuse(attempt: steer::Attempt<steer::Sent>) -> steer::Refusal {
///     attempt.refuse_not_run(steer::ErrorKind::NoRoom)
/// }
/// ```
#[derive(Debug)]
pub struct Attempt<S> {
    state: S,
}

impl Attempt<Unsent> {
    /// Starts with a request of which nothing has been sent.
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

    /// Tells whether the request has no body.
    pub fn is_bodyless(&self) -> bool {
        http_body::Body::is_end_stream(self.state.request.body())
    }

    /// Gives the request back, to be handed to a peer.
    pub fn into_request(self) -> Request<Body> {
        self.state.request
    }

    /// Sends the request to a target and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// `NotSent` gives the attempt back; after `Sent` the request may have run.
    pub async fn send(
        self,
        targets: &dyn Targets,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<Attempt<Answered>, AttemptError> {
        match timeout(wait, targets.send(address, self.state.request)).await {
            Err(_) => Err(Attempt::lost(ErrorKind::DeadlinePassed)),
            Ok(Err(SendError::NotSent { reason, request })) => {
                Err(AttemptError::NotSent(Self::new(*request), reason))
            }
            Ok(Err(SendError::Sent { .. })) => Err(Attempt::lost(ErrorKind::TargetFailed)),
            Ok(Ok(response)) => Ok(Attempt { state: Answered { response } }),
        }
    }
}

impl Attempt<Sent> {
    /// Notes that a request handed to a peer may have run.
    pub(super) fn lost(kind: ErrorKind) -> AttemptError {
        AttemptError::Sent(Self { state: Sent }, kind)
    }

    /// Refuses the request, of which nobody knows whether it ran.
    pub fn refuse_unknown(self, kind: ErrorKind) -> Refusal {
        Refusal::from(kind)
    }
}

impl Attempt<Answered> {
    /// Gives the answer.
    pub fn into_response(self) -> Response<Body> {
        self.state.response
    }
}
