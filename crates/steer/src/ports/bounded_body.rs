//! Bodies that fail if they exceed a limit.

use super::{Body, BodyError};
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep_until};

/// Maximum number of bytes passed on after the deadline. They arrived before it in a busy process,
/// which may read them late.
const MAX_LATE_BYTES: u64 = 64 << 10;

/// Shared flag that records whether a body failed; it outlives the body.
///
/// ```
/// assert!(!steer::BodyFault::default().is_set());
/// ```
#[derive(Clone, Debug, Default)]
pub struct BodyFault(Arc<AtomicBool>);

impl BodyFault {
    /// Returns whether the body ended with an error.
    ///
    /// ```
    /// let fault = steer::BodyFault::default();
    /// assert!(!fault.is_set());
    /// ```
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Limits on the size and duration of a body.
///
/// ```
/// use std::time::Duration;
/// use steer::BodyLimits;
/// use tokio::time::Instant;
/// let limits = BodyLimits::with_deadline(Instant::now()).bytes(1024).idle(Duration::from_secs(30));
/// assert_eq!(limits.bytes, 1024);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: u64,
    /// Maximum time between two frames.
    pub idle: Duration,
    /// Deadline for the whole body.
    pub deadline: Instant,
}

impl BodyLimits {
    /// Creates limits with a deadline only.
    pub fn with_deadline(deadline: Instant) -> Self {
        Self { bytes: u64::MAX, idle: Duration::MAX, deadline }
    }

    /// Sets the maximum size in bytes.
    pub fn bytes(mut self, bytes: u64) -> Self {
        self.bytes = bytes;
        self
    }

    /// Sets the maximum time between two frames.
    pub fn idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }

    fn frame_deadline(&self) -> Instant {
        Instant::now().checked_add(self.idle).map_or(self.deadline, |idle| idle.min(self.deadline))
    }
}

/// A body that enforces limits.
#[derive(Debug)]
struct BoundedBody {
    fault: BodyFault,
    inner: Body,
    /// Number of bytes that may still be passed on after the deadline.
    late_bytes: u64,
    limits: BodyLimits,
    /// Set once the time was up; the body is polled once more before it fails.
    timed_out: bool,
    timer: Pin<Box<Sleep>>,
}

impl BoundedBody {
    fn fail(&self, reason: &str) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.fault.0.store(true, Ordering::Relaxed);
        Poll::Ready(Some(Err(BodyError { reason: reason.to_owned() })))
    }
}

impl http_body::Body for BoundedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.inner).poll_frame(cx) else {
            ready!(self.timer.as_mut().poll(cx));
            if self.timed_out {
                return self.fail("time limit exceeded");
            }
            // Lets the task of the target's connection hand over what it has received.
            self.timed_out = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        };
        let frame = match frame {
            None => return Poll::Ready(None),
            Some(Err(error)) => return self.fail(&error.reason),
            Some(Ok(frame)) => frame,
        };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(remaining) = self.limits.bytes.checked_sub(length) else {
            return self.fail("size limit exceeded");
        };
        self.limits.bytes = remaining;
        if Instant::now() >= self.limits.deadline {
            let Some(remaining) = self.late_bytes.checked_sub(length) else {
                return self.fail("time limit exceeded");
            };
            self.late_bytes = remaining;
        }
        self.timed_out = false;
        let deadline = self.limits.frame_deadline();
        self.timer.as_mut().reset(deadline);
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Applies limits to a body. If the body exceeds one or fails, it ends with an error and sets
/// `fault`.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// use http_body_util::BodyExt;
/// use steer::{BodyFault, BodyLimits, bound_body, full_body};
/// let later = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
/// let fault = BodyFault::default();
/// let body = bound_body(full_body("four"), BodyLimits::with_deadline(later).bytes(3), fault.clone());
/// assert!(body.collect().await.is_err());
/// assert!(fault.is_set());
/// # });
/// ```
pub fn bound_body(body: Body, limits: BodyLimits, fault: BodyFault) -> Body {
    let timer = Box::pin(sleep_until(limits.frame_deadline()));
    let late_bytes = MAX_LATE_BYTES;
    BoundedBody { fault, inner: body, late_bytes, limits, timed_out: false, timer }.boxed_unsync()
}
