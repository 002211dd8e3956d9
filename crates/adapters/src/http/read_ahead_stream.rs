//! Reads a caller's connection ahead of hyper, which reads only one request at a time.
//!
//! Reading ahead detects at once that the caller has closed the connection; once the buffer is full, an
//! end that has arrived is seen without reading. It also parses the requests that are pipelined behind
//! the current one, so that they can be started early.

use super::{read_ahead_budget::ReadAheadShare, write_timeout::WriteTimeout};
use bytes::{Buf, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE},
};
use std::{
    collections::VecDeque,
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes from which the buffer is full: further ones need the budget of the listener.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Maximum number of bytes buffered before hyper reads them.
const MAX_FAR_AHEAD: usize = 1 << 20;
/// Maximum number of reads in one poll of the connection's task. A caller that never stops sending
/// would else use up the task's budget, and the timers of its requests would not fire.
const MAX_READS: usize = 32;
/// Size of a single read in bytes.
const READ_SIZE: usize = 4 << 10;
/// Maximum number of headers of a request that is parsed ahead; hyper alone parses a request with
/// more.
const MAX_HEADERS: usize = 64;
/// Maximum number of requests parsed ahead of hyper; hyper alone parses any further ones.
const MAX_PIPELINED: usize = 16;

/// Limits on the heads of requests, beyond which hyper closes the connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadLimits {
    /// Maximum number of bytes.
    pub(super) bytes: usize,
    /// Maximum number of headers.
    pub(super) headers: usize,
}

/// Position of the parser in the caller's byte stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// Inside a body with this many bytes left.
    Body(u64),
    /// At the start of a request or inside its head.
    Head,
    /// Unknown; the rest of the stream is left to hyper.
    Opaque,
}

/// A request that hyper hasn't read yet.
#[derive(Debug)]
pub(super) enum PipelinedRequest<T> {
    /// The request can't be started early.
    Deferred,
    /// The request has no body and may be started early, once hyper has read all bytes up to the
    /// offset: it closes the connection if the body of an earlier request is left unread.
    Ready(Box<Request<()>>, u64),
    /// The request was started early.
    Started(Box<Request<()>>, T),
}

#[derive(Debug)]
struct StreamState<T> {
    /// Offset of the end of the last body.
    body_end: u64,
    /// Bytes that hyper hasn't read yet.
    buffered: BytesMut,
    /// Set once the connection closes after its pending responses; no further request is started.
    closing: bool,
    eof: bool,
    framing: Framing,
    /// Bytes of an incomplete head.
    head: BytesMut,
    limits: HeadLimits,
    /// Number of responses that are being passed on. No request is started behind them, as it would
    /// be lost with a response that breaks off.
    passing: usize,
    pipelined: VecDeque<PipelinedRequest<T>>,
    /// Number of reads in the current poll of the connection's task.
    reads: usize,
    /// Number of bytes received from the caller.
    received: u64,
    /// Covers the buffered bytes beyond `MAX_READ_AHEAD`.
    share: ReadAheadShare,
    stream: WriteTimeout,
}

/// Outcome of reading ahead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadAhead {
    /// More bytes are buffered for hyper.
    Data,
    /// The caller closed the connection, or it failed.
    Eof,
}

/// A connection that is read ahead; its clones share it.
#[derive(Debug)]
pub(super) struct ReadAheadStream<T> {
    state: Arc<Mutex<StreamState<T>>>,
}

impl<T> Clone for ReadAheadStream<T> {
    fn clone(&self) -> Self {
        Self { state: Arc::clone(&self.state) }
    }
}

impl<T> ReadAheadStream<T> {
    pub(super) fn new(stream: WriteTimeout, limits: HeadLimits, share: ReadAheadShare) -> Self {
        let state = StreamState {
            body_end: 0,
            buffered: BytesMut::new(),
            closing: false,
            eof: false,
            framing: Framing::Head,
            head: BytesMut::new(),
            limits,
            passing: 0,
            pipelined: VecDeque::new(),
            reads: 0,
            received: 0,
            share,
            stream,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, StreamState<T>> {
        self.state.lock().expect("no thread panics while it holds the stream")
    }

    /// Returns whether reading ahead may have to wait until hyper takes bytes.
    pub(super) fn is_full(&self) -> bool {
        self.lock().is_full()
    }

    /// Waits until the caller's end has arrived, also behind bytes that are not read yet, and records it.
    pub(super) async fn wait_caller_end(&self) {
        let end = self.lock().stream.wait_peer_end();
        end.await;
        self.lock().eof = true;
    }

    /// Returns the number of requests that were started early and that hyper hasn't read yet.
    pub(super) fn started(&self) -> usize {
        self.lock().started()
    }

    /// Returns whether the caller's end of the stream, or an error, has been read.
    pub(super) fn is_closed_by_caller(&self) -> bool {
        self.lock().eof
    }

    /// Removes and returns the requests that were started early and that hyper hasn't read.
    pub(super) fn take_started(&self) -> Vec<(Box<Request<()>>, T)> {
        let pipelined = std::mem::take(&mut self.lock().pipelined);
        let started = pipelined.into_iter().filter_map(|pipelined| match pipelined {
            PipelinedRequest::Started(head, response) => Some((head, response)),
            PipelinedRequest::Deferred | PipelinedRequest::Ready(..) => None,
        });
        started.collect()
    }

    /// Waits until hyper has read all requests that were started early. Must be polled after hyper.
    pub(super) fn poll_none_started(&self) -> Poll<()> {
        if self.started() == 0 { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Begins a poll of the connection's task. Must be polled before hyper; never ready.
    pub(super) fn poll_begin(&self) -> Poll<()> {
        self.lock().reads = 0;
        Poll::Pending
    }

    /// Stops starting requests early, as the connection is about to close.
    pub(super) fn stop_early_starts(&self) {
        self.lock().closing = true;
    }

    /// Starts no request early while a response is being passed on, until the guard is dropped.
    pub(super) fn pass_response(&self) -> PassingGuard<T> {
        self.lock().passing += 1;
        PassingGuard(self.clone())
    }

    /// Returns whether the next response closes the connection: one has asked for that, and no
    /// request that was started early waits behind it.
    pub(super) fn closes_after(&self, close_requested: bool) -> bool {
        let mut state = self.lock();
        state.closing |= close_requested;
        state.closing && state.started() == 0
    }

    /// Drops the pipelined requests and leaves the rest of the stream to hyper.
    pub(super) fn discard_pipelined(&self) {
        let mut state = self.lock();
        state.framing = Framing::Opaque;
        state.pipelined.clear();
    }

    /// Ends the connection with a reset when it is dropped.
    pub(super) fn reset_on_close(&self) {
        self.lock().stream.reset_on_close();
    }

    /// Removes and returns the pipelined request that hyper has just read.
    pub(super) fn pop_pipelined(&self) -> PipelinedRequest<T> {
        self.lock().pipelined.pop_front().unwrap_or(PipelinedRequest::Deferred)
    }

    /// Reads ahead and starts pipelined requests; one that `start` rejects is left to hyper. Must be
    /// polled after hyper, so that only requests that wait behind the current one are left in the
    /// queue.
    pub(super) fn poll_read_ahead(
        &self,
        cx: &mut Context<'_>,
        start: impl Fn(&Request<()>) -> Option<T>,
    ) -> Poll<ReadAhead> {
        let mut state = self.lock();
        let consumed = state.received - state.buffered.len() as u64;
        let may_start = !state.closing && state.passing == 0;
        for pipelined in &mut state.pipelined {
            if let PipelinedRequest::Ready(request, offset) = pipelined
                && consumed >= *offset
                && may_start
            {
                *pipelined = match start(request) {
                    Some(started) => PipelinedRequest::Started(std::mem::take(request), started),
                    None => PipelinedRequest::Deferred,
                };
            }
        }
        if state.eof {
            return Poll::Ready(ReadAhead::Eof);
        }
        if !state.may_buffer() {
            return Poll::Pending;
        }
        match ready!(state.poll_fill(cx)) {
            Ok(0) | Err(_) => Poll::Ready(ReadAhead::Eof),
            Ok(_) => Poll::Ready(ReadAhead::Data),
        }
    }
}

/// Marks a response as being passed on.
#[derive(Debug)]
pub(super) struct PassingGuard<T>(ReadAheadStream<T>);

impl<T> Drop for PassingGuard<T> {
    fn drop(&mut self) {
        self.0.lock().passing -= 1;
    }
}

impl<T> StreamState<T> {
    fn is_full(&self) -> bool {
        self.buffered.len() >= MAX_READ_AHEAD
    }

    /// Returns whether the bytes of another read may be buffered: in a full buffer only if the budget
    /// covers them.
    fn may_buffer(&mut self) -> bool {
        let length = self.buffered.len() + READ_SIZE;
        !self.is_full() || length <= MAX_FAR_AHEAD && self.share.try_grow(length - MAX_READ_AHEAD)
    }

    /// Removes bytes that hyper has read, and returns memory that is no longer needed.
    fn consume(&mut self, length: usize) {
        self.buffered.advance(length);
        self.share.shrink(self.buffered.len().saturating_sub(MAX_READ_AHEAD));
        if self.buffered.is_empty() && self.buffered.capacity() > MAX_READ_AHEAD {
            self.buffered = BytesMut::new();
        }
    }

    fn started(&self) -> usize {
        let is_started = |p: &&PipelinedRequest<T>| matches!(p, PipelinedRequest::Started(..));
        self.pipelined.iter().filter(is_started).count()
    }

    /// Reads once from the connection and parses the received bytes.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.reads >= MAX_READS {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.reads += 1;
        let mut bytes = [0; READ_SIZE];
        let mut buf = ReadBuf::new(&mut bytes);
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
        let received = buf.filled();
        if read.is_err() || received.is_empty() {
            self.eof = true;
        }
        self.buffered.extend_from_slice(received);
        self.received += received.len() as u64;
        self.parse_requests(received);
        Poll::Ready(read.map(|()| received.len()))
    }

    /// Parses complete heads in the received bytes.
    fn parse_requests(&mut self, mut bytes: &[u8]) {
        if let Framing::Body(left) = self.framing {
            let skipped = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
            bytes = &bytes[skipped..];
            self.framing = match left - skipped as u64 {
                0 => Framing::Head,
                left => Framing::Body(left),
            };
        }
        if self.framing == Framing::Head {
            self.head.extend_from_slice(bytes);
        }
        while self.framing == Framing::Head && !self.head.is_empty() {
            match parse_head(&self.head, self.limits) {
                Head::Partial => return,
                Head::Unsupported => self.framing = Framing::Opaque,
                // A request left out here would misalign the queue with the requests that hyper
                // reads, so hyper alone parses the rest.
                Head::Complete { .. } if self.pipelined.len() >= MAX_PIPELINED => {
                    self.framing = Framing::Opaque;
                }
                Head::Complete { body, is_last, length, request } => {
                    self.head.advance(length);
                    self.pipelined.push_back(match request {
                        Some(request) => PipelinedRequest::Ready(request, self.body_end),
                        None => PipelinedRequest::Deferred,
                    });
                    if body > 0 {
                        let start = self.received - self.head.len() as u64;
                        self.body_end = start.saturating_add(body);
                    }
                    let available =
                        usize::try_from(body).unwrap_or(usize::MAX).min(self.head.len());
                    self.head.advance(available);
                    if available as u64 != body {
                        self.framing = Framing::Body(body - available as u64);
                    }
                    if is_last {
                        self.framing = Framing::Opaque;
                    }
                }
            }
        }
        if self.framing == Framing::Opaque {
            self.head = BytesMut::new();
        }
    }
}

/// Result of parsing a request's head.
enum Head {
    /// The head is incomplete.
    Partial,
    /// The head is malformed or unsupported here; hyper handles it.
    Unsupported,
    /// The head is complete: length of the body, whether its response closes the connection, length
    /// of the head, and the request if it may be started early.
    Complete { body: u64, is_last: bool, length: usize, request: Option<Box<Request<()>>> },
}

fn parse_head(bytes: &[u8], limits: HeadLimits) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers[..limits.headers.min(MAX_HEADERS)]);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length > limits.bytes => {
            return Head::Unsupported;
        }
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => {
            return if bytes.len() < MAX_READ_AHEAD / 2 {
                Head::Partial
            } else {
                Head::Unsupported
            };
        }
        Err(_) => return Head::Unsupported,
    };
    let is_http_1_0 = parsed.version == Some(0);
    let Some(request) = to_request(&parsed) else { return Head::Unsupported };
    let headers = request.headers();
    let special = [EXPECT, TRANSFER_ENCODING, UPGRADE];
    // What follows `CONNECT` belongs to the tunnel.
    if request.method() == Method::CONNECT || special.iter().any(|name| headers.contains_key(name))
    {
        return Head::Unsupported;
    }
    let Some(body) = body_length(headers) else { return Head::Unsupported };
    let has_no_body = body == 0 && matches!(*request.method(), Method::GET | Method::HEAD);
    let is_last = is_http_1_0 || has_close(headers);
    Head::Complete { body, is_last, length, request: has_no_body.then(|| Box::new(request)) }
}

/// Reads the length of a request's body as strictly as hyper: bytes that are part of a body must
/// never be parsed as a request. Returns `None` if the length is invalid or repeated.
fn body_length(headers: &HeaderMap) -> Option<u64> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some(length), None) => parse_length(length),
        _ => None,
    }
}

/// Parses a body length. Hyper closes the connection behind one with any character but digits.
pub(super) fn parse_length(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// Returns whether the headers ask for the connection to be closed.
pub(super) fn has_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

fn to_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = parsed.method?.parse().ok()?;
    *request.uri_mut() = Uri::try_from(parsed.path?).ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        request.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(request)
}

impl<T> AsyncRead for ReadAheadStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.lock();
        while state.buffered.is_empty() && !state.eof {
            ready!(state.poll_fill(cx))?;
        }
        let length = state.buffered.len().min(buf.remaining());
        buf.put_slice(&state.buffered[..length]);
        state.consume(length);
        Poll::Ready(Ok(()))
    }
}

impl<T> AsyncWrite for ReadAheadStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }
}
