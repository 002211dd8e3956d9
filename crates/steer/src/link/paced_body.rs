//! A body that is sent at the rate of this VM's share of a link.

use super::LinkPacer;
use crate::{Body, BodyError, ShareKey, Urgency};
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    fmt::{self, Debug, Formatter},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Waits for the number of bytes that may be sent next.
type ChunkFuture = Pin<Box<dyn Future<Output = u64> + Send>>;

struct PacedBody {
    inner: Body,
    key: ShareKey,
    pacer: Arc<LinkPacer>,
    pending: Bytes,
    chunk_size: Option<ChunkFuture>,
    urgency: Urgency,
}

impl PacedBody {
    fn next_chunk(&self) -> ChunkFuture {
        let (key, pacer) = (self.key.clone(), Arc::clone(&self.pacer));
        let (max, urgency) = (self.pending.len() as u64, self.urgency);
        Box::pin(async move { pacer.acquire(&key, max, urgency).await })
    }
}

impl http_body::Body for PacedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.pending.is_empty() {
            let frame = match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                end => return Poll::Ready(end),
            };
            match frame.into_data() {
                Ok(data) if data.is_empty() => return Poll::Ready(Some(Ok(Frame::data(data)))),
                Ok(data) => self.pending = data,
                Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
            }
        }
        let mut chunk_size = self.chunk_size.take().unwrap_or_else(|| self.next_chunk());
        let Poll::Ready(bytes) = chunk_size.as_mut().poll(cx) else {
            self.chunk_size = Some(chunk_size);
            return Poll::Pending;
        };
        let chunk = self.pending.split_to(bytes as usize);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.pending.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let pending = self.pending.len() as u64;
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + pending);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + pending);
        }
        hint
    }
}

impl Debug for PacedBody {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("PacedBody").field("key", &self.key).finish_non_exhaustive()
    }
}

/// Paces a body sent across a link to this VM's share of the link.
pub fn pace_body(body: Body, pacer: Arc<LinkPacer>, key: ShareKey, urgency: Urgency) -> Body {
    PacedBody { inner: body, key, pacer, pending: Bytes::new(), chunk_size: None, urgency }
        .boxed_unsync()
}
