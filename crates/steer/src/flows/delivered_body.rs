//! Response body that observes its delivery.

use super::run_watch::RunWatch;
use crate::{Body, BodyError, RequestLog};
use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use slog::info;
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Passes a target's response body on, logs if it fails or is dropped before its end, and tells the
/// watch of the run whether it is complete.
#[derive(Debug)]
struct DeliveredBody {
    /// Number of bytes passed on.
    bytes: u64,
    ended: bool,
    id: Arc<str>,
    inner: Body,
    log: RequestLog,
    watch: RunWatch,
}

/// Observes the delivery of a response, and logs under the request's id if it ends early.
pub(super) fn watch_delivery(body: Body, id: &Arc<str>, log: &RequestLog, watch: RunWatch) -> Body {
    if body.is_end_stream() {
        watch.record_served();
        return body;
    }
    let (id, log) = (Arc::clone(id), log.clone());
    DeliveredBody { bytes: 0, ended: false, id, inner: body, log, watch }.boxed_unsync()
}

impl DeliveredBody {
    fn record_end(&mut self) {
        if !self.ended {
            self.ended = true;
            self.watch.record_served();
        }
    }

    fn log_early_end(&self, reason: &str) {
        let Some(dropped) = self.log.try_acquire_line() else { return };
        info!(self.log.log(), "request: response cut"; "id" => &*self.id, "bytes" => self.bytes,
            "reason" => reason, "dropped" => dropped);
    }
}

impl http_body::Body for DeliveredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.record_end(),
            Some(Err(error)) => {
                self.ended = true;
                self.watch.record_lost();
                self.log_early_end(&error.to_string());
            }
            Some(Ok(frame)) => {
                self.bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
                // A reader may not poll again after the last frame.
                if self.inner.is_end_stream() {
                    self.record_end();
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for DeliveredBody {
    fn drop(&mut self) {
        if !self.ended {
            self.log_early_end("dropped before its end");
        }
    }
}
