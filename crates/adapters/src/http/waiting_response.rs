//! Responses that wait until the earlier ones on their connection are written.

use bytes::BytesMut;
use futures_util::FutureExt;
use http::Response;
use http_body::Body as _;
use http_body_util::BodyExt;
use std::{panic::AssertUnwindSafe, pin::pin, sync::Arc};
use steer::{Body, ErrorKind, Refusal, ResponseDeadline, full_body, prepend_frame};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    time::{Instant, sleep_until},
};
use tokio_util::task::AbortOnDropHandle;

/// Number of bytes of a body that are read while its response waits, or others wait behind it.
const MAX_WAITING_BYTES: usize = 64 << 10;
/// Maximum number of requests of a listener that were started early and whose turn hasn't come. Each
/// may hold its own response and keep the one before it from being passed on, so that all of them hold
/// 32 MiB.
const MAX_WAITING: usize = (32 << 20) / (2 * MAX_WAITING_BYTES);

/// How far a response is read on once its turn has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadOn {
    /// To its end, or until it turns out to be large: others wait behind it.
    Body,
    /// One more frame, which shows that the body hasn't failed.
    Frame,
}

/// Bounds the memory of all waiting responses of a listener.
#[derive(Clone, Debug)]
pub(super) struct WaitingLimit(Arc<Semaphore>);

impl WaitingLimit {
    pub(super) fn new() -> Self {
        Self(Arc::new(Semaphore::new(MAX_WAITING)))
    }

    /// Returns a permit for another waiting response, unless there are too many.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.0).try_acquire_owned().ok()
    }
}

/// Response to a request that was started early. Dropping it cancels the request.
#[derive(Debug)]
pub(super) struct WaitingResponse {
    _permit: OwnedSemaphorePermit,
    task: AbortOnDropHandle<Result<Response<Body>, Refusal>>,
    turn: oneshot::Sender<()>,
}

impl WaitingResponse {
    /// Starts a request whose response waits for its turn.
    pub(super) fn start(
        response: impl Future<Output = Response<Body>> + Send + 'static,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        let (turn, is_turn) = oneshot::channel();
        let task = tokio::spawn(async move {
            let response = catch_panic(response).await?;
            let turn = is_turn.map(|_| ReadOn::Frame);
            hold_until_turn(response, turn).await
        });
        Self { _permit: permit, task: AbortOnDropHandle::new(task), turn }
    }

    /// Returns whether the response is complete and only waits for its turn.
    pub(super) fn is_complete(&self) -> bool {
        self.task.is_finished()
    }

    /// Returns the response now that its turn has come. The request is never sent again: it has
    /// used its attempts.
    ///
    /// # Errors
    ///
    /// If the response failed before any of it was written.
    pub(super) async fn take(self) -> Result<Response<Body>, Refusal> {
        // The task has ended if nothing receives this; it then holds the whole response.
        _ = self.turn.send(());
        let aborted = |error: tokio::task::JoinError| {
            Err(Refusal::new(ErrorKind::AnswerCut, error.to_string()))
        };
        self.task.await.unwrap_or_else(aborted)
    }
}

/// Runs a handler; a panic ends its request only, not the connection with its other requests.
///
/// # Errors
///
/// If the handler panics. Its request may have run.
pub(super) async fn catch_panic(
    response: impl Future<Output = Response<Body>>,
) -> Result<Response<Body>, Refusal> {
    let panicked = |_| Refusal::new(ErrorKind::AnswerCut, "the handler panicked");
    AssertUnwindSafe(response).catch_unwind().await.map_err(panicked)
}

/// Reads the body of a response until its turn comes, as the target could close its connection
/// meanwhile. Once the head is passed on, a body that fails ends the connection, and with it the
/// responses behind it; an incomplete body is therefore read on before that.
///
/// # Errors
///
/// If the body fails, or is incomplete at its deadline, before any of it was passed on.
pub(super) async fn hold_until_turn(
    response: Response<Body>,
    turn: impl Future<Output = ReadOn>,
) -> Result<Response<Body>, Refusal> {
    if response.body().is_end_stream() {
        return Ok(response);
    }
    let deadline = response.extensions().get::<ResponseDeadline>().map(|deadline| deadline.0);
    let expired = async {
        match deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    };
    let (mut turn, mut expired) = (pin!(turn), pin!(expired));
    let (head, mut body) = response.into_parts();
    let (mut bytes, mut current) = (BytesMut::new(), None);
    let late = || Refusal::new(ErrorKind::DeadlinePassed, "the body had not ended at the deadline");
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame(), if current.is_some() || bytes.len() < MAX_WAITING_BYTES => frame,
            begun = &mut turn, if current.is_none() => {
                current = Some(begun);
                continue;
            }
            () = &mut expired => return Err(late()),
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) if deadline.is_some_and(|deadline| Instant::now() >= deadline) => {
                return Err(late());
            }
            Some(Err(error)) => return Err(Refusal::new(ErrorKind::AnswerCut, error.to_string())),
            None => return Ok(Response::from_parts(head, full_body(bytes))),
        };
        match frame.into_data() {
            Ok(data) => bytes.extend_from_slice(&data),
            // Trailers end a body.
            Err(trailers) => {
                body = prepend_frame(trailers, body);
                break;
            }
        }
        match current {
            Some(ReadOn::Frame) => break,
            Some(ReadOn::Body) if bytes.len() >= MAX_WAITING_BYTES => break,
            _ => {}
        }
    }
    Ok(Response::from_parts(head, prepend_frame(http_body::Frame::data(bytes.freeze()), body)))
}
