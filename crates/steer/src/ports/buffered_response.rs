//! Responses that are read whole before they are passed on.

use super::{Body, BodyError, BodyFault, BodyLimits, BufferBudget, BufferPermit, bound_body};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use futures_util::stream::{StreamExt, iter};
use http::Response;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use std::{
    collections::VecDeque,
    mem,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Largest body in bytes that is read whole.
const MAX_BYTES: usize = 64 << 10;
/// Time for which a body of unknown length is read. After it, the body is passed on as a stream,
/// whose first bytes a caller may be waiting for.
const MAX_STREAM_WAIT: Duration = Duration::from_millis(100);

/// Why a small body could not be read to its end.
#[derive(Clone, Debug, Display, Error, From)]
pub enum SmallBodyError {
    /// The body broke off.
    #[display("{_0}")]
    Broken(BodyError),
    /// The body had not ended at the deadline.
    #[display("the body had not ended at the deadline")]
    Late,
}

/// Deadline of a response, set as its extension.
#[derive(Clone, Copy, Debug)]
pub struct ResponseDeadline(pub Instant);

/// The bytes of a body that have been read, in pieces, so that a caller that doesn't read holds only
/// those that were written to its connection beyond the budget.
#[derive(Debug)]
struct BufferedBytes {
    /// The piece that is being filled.
    current: BytesMut,
    permits: Vec<BufferPermit>,
    pieces: VecDeque<Bytes>,
    length: u64,
}

impl BufferedBytes {
    /// Size of a piece in bytes.
    const PIECE: usize = 8 << 10;

    fn new() -> Self {
        Self { current: BytesMut::new(), permits: Vec::new(), pieces: VecDeque::new(), length: 0 }
    }

    fn push(&mut self, data: &[u8]) {
        self.length += data.len() as u64;
        let mut rest = data;
        while !rest.is_empty() {
            if self.current.capacity() == 0 {
                self.current.reserve(Self::PIECE.min(rest.len().next_power_of_two()));
            }
            let (now, later) = rest.split_at(rest.len().min(Self::PIECE - self.current.len()));
            self.current.extend_from_slice(now);
            if self.current.len() == Self::PIECE {
                self.end_piece();
            }
            rest = later;
        }
    }

    fn end_piece(&mut self) {
        let piece = mem::take(&mut self.current);
        if !piece.is_empty() {
            self.pieces.push_back(piece.freeze());
        }
    }

    /// Returns the bytes as a whole body.
    fn into_body(mut self) -> Body {
        self.end_piece();
        self.boxed_unsync()
    }
}

impl http_body::Body for BufferedBytes {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let piece = self.pieces.pop_front();
        self.length -= piece.as_ref().map_or(0, |piece| piece.len() as u64);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// Reads a small body to its end, so that a body that fails can still be replaced by another
/// response. Bytes that have arrived by the deadline count, however late they are read. A body that
/// is large, or whose length is unknown and that goes on for some time, or for which the budget has
/// no room, is returned as a stream that fails at the deadline; the first bytes of a large body are
/// awaited.
///
/// # Errors
///
/// If a small body breaks off, or has not ended at the deadline, or if no byte of a large one comes.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// use http_body::Body;
/// let later = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
/// let response = http::Response::new(steer::full_body("four"));
/// let budget = steer::BufferBudget::new(1 << 10);
/// let response = steer::buffer_small_body(response, later, &budget).await.unwrap();
/// assert_eq!(response.body().size_hint().exact(), Some(4));
/// # });
/// ```
pub async fn buffer_small_body(
    response: Response<Body>,
    deadline: Instant,
    budget: &BufferBudget,
) -> Result<Response<Body>, SmallBodyError> {
    let length = response.body().size_hint().exact();
    if response.body().is_end_stream() {
        return Ok(response);
    }
    let mut buffered = BufferedBytes::new();
    let small = length.filter(|length| *length <= MAX_BYTES as u64);
    buffered.permits.extend(small.and_then(|length| budget.try_acquire(length as usize)));
    let is_large = length.is_some() && buffered.permits.is_empty();
    let stream_wait = sleep(match length {
        Some(_) => Duration::MAX,
        None => MAX_STREAM_WAIT,
    });
    let mut stream_wait = pin!(stream_wait);
    let (head, body) = response.into_parts();
    let mut body = bound_body(body, BodyLimits::with_deadline(deadline), BodyFault::default());
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut stream_wait => break,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) if Instant::now() >= deadline => return Err(SmallBodyError::Late),
            Some(Err(error)) => return Err(error.into()),
            None => return Ok(Response::from_parts(head, buffered.into_body())),
        };
        let data = match frame.into_data() {
            Ok(data) => data,
            // Trailers end a body.
            Err(trailers) => {
                body = prepend_frame(trailers, body);
                break;
            }
        };
        buffered.push(&data);
        if buffered.length > MAX_BYTES as u64 || is_large && buffered.length > 0 {
            break;
        }
        if length.is_none() {
            let Some(permit) = budget.try_acquire(data.len()) else { break };
            buffered.permits.push(permit);
        }
    }
    Ok(Response::from_parts(head, prepend_body(buffered.into_body(), body)))
}

fn prepend_body(first: Body, rest: Body) -> Body {
    if first.is_end_stream() {
        return rest;
    }
    StreamBody::new(BodyStream::new(first).chain(BodyStream::new(rest))).boxed_unsync()
}

/// Puts a frame that has been read back in front of the rest of its body.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use http_body::Frame;
/// use http_body_util::BodyExt;
/// let body = steer::prepend_frame(Frame::data("who".into()), steer::full_body("le"));
/// assert_eq!(body.collect().await.unwrap().to_bytes(), "whole");
/// # });
/// ```
pub fn prepend_frame(first: Frame<Bytes>, rest: Body) -> Body {
    StreamBody::new(iter([Ok(first)]).chain(BodyStream::new(rest))).boxed_unsync()
}
