//! A response body that records its request as run when the body ends or is dropped.

use crate::{Body, BodyError, Claimed, KeyState, OnceKey, Platform, RecordedAnswer};
use bytes::Bytes;
use http::{Response, header::CONTENT_TYPE};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    mem,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use tokio_util::task::TaskTracker;

/// Writes the outcome of an at-most-once request to the platform.
#[derive(Debug)]
pub(super) struct ResponseRecorder {
    pub(super) key: OnceKey<Claimed>,
    pub(super) platform: Arc<dyn Platform>,
    pub(super) work: TaskTracker,
}

impl ResponseRecorder {
    /// Writes the outcome in a background task that a graceful stop waits for.
    pub(super) fn finish(self, state: KeyState) {
        let Self { key, platform, work } = self;
        work.spawn(async move { key.finish(&*platform, state).await });
    }
}

#[derive(Debug)]
struct RecordedBody {
    answer: RecordedAnswer,
    bytes: Vec<u8>,
    inner: Body,
    recorder: Option<ResponseRecorder>,
    complete: bool,
}

/// Wraps a response so that its outcome is recorded when the body ends. A small body is recorded
/// too, and is replayed to callers that repeat the request.
pub(super) fn record_answer(
    response: Response<Body>,
    recorder: ResponseRecorder,
) -> Response<Body> {
    let content_type = response.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let answer = RecordedAnswer {
        body: None,
        content_type: content_type.map(str::to_owned),
        status: response.status().as_u16(),
    };
    response.map(|inner| {
        let recorder = Some(recorder);
        RecordedBody { answer, bytes: Vec::new(), inner, recorder, complete: false }.boxed_unsync()
    })
}

impl RecordedBody {
    fn record(&mut self) {
        let Some(recorder) = self.recorder.take() else { return };
        let small = self.complete && self.bytes.len() <= RecordedAnswer::MAX_BODY;
        let text = small.then(|| String::from_utf8(mem::take(&mut self.bytes)).ok()).flatten();
        let answer = RecordedAnswer { body: text, ..mem::take(&mut self.answer) };
        recorder.finish(KeyState::Ran(answer));
    }

    fn buffer(&mut self, data: &Bytes) {
        if self.bytes.len() <= RecordedAnswer::MAX_BODY {
            let remaining = RecordedAnswer::MAX_BODY + 1 - self.bytes.len();
            self.bytes.extend_from_slice(&data[..data.len().min(remaining)]);
        }
    }
}

impl http_body::Body for RecordedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer(data);
                }
            }
            Some(Err(_)) => self.record(),
            None => {
                self.complete = true;
                self.record();
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

impl Drop for RecordedBody {
    fn drop(&mut self) {
        self.complete = http_body::Body::is_end_stream(&self.inner);
        self.record();
    }
}
