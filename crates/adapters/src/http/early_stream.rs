//! Reads a caller's connection ahead of hyper, which reads one request at a time.
//!
//! It finds out at once that a caller has left, and it knows the requests that are pipelined
//! behind the one under way, so that they can be started early.

use super::write_limit::WriteLimit;
use bytes::{Buf, BytesMut};
use http::{
    HeaderName, HeaderValue, Method, Request, Uri,
    header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE},
};
use std::{
    collections::VecDeque,
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are read before hyper asks for them, and no more.
const MOST_AHEAD: usize = 64 << 10;
/// Bytes that are read at a time.
const READ_SIZE: usize = 4 << 10;
/// Headers that a request may have to be understood early; others are left to hyper.
const MOST_HEADERS: usize = 64;
/// Requests that may wait behind the one under way; further ones are left to hyper.
const MOST_WAITING: usize = 16;

/// Where the reader stands in the caller's bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// Inside a body, with so many bytes to come.
    Body(u64),
    /// At the beginning of a request.
    Head,
    /// Somewhere; only hyper knows.
    Opaque,
}

/// A request that hyper hasn't reached.
#[derive(Debug)]
pub(super) enum Waiting<T> {
    /// Only hyper can read it.
    Closed,
    /// It has no body and could be started.
    Open(Box<Request<()>>),
    /// It was started.
    Started(Box<Request<()>>, T),
}

#[derive(Debug)]
struct State<T> {
    /// Bytes that hyper hasn't read.
    ahead: BytesMut,
    ended: bool,
    framing: Framing,
    /// Bytes of a head that isn't whole.
    head: BytesMut,
    stream: WriteLimit,
    waiting: VecDeque<Waiting<T>>,
}

/// What reading ahead has found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ahead {
    /// There is more to read for hyper.
    Data,
    /// The caller has closed the connection.
    Ended,
}

/// A connection that is read ahead; its clones share it.
#[derive(Debug)]
pub(super) struct EarlyStream<T> {
    state: Arc<Mutex<State<T>>>,
}

impl<T> Clone for EarlyStream<T> {
    fn clone(&self) -> Self {
        Self { state: Arc::clone(&self.state) }
    }
}

impl<T> EarlyStream<T> {
    pub(super) fn new(stream: WriteLimit) -> Self {
        let state = State {
            ahead: BytesMut::new(),
            ended: false,
            framing: Framing::Head,
            head: BytesMut::new(),
            stream,
            waiting: VecDeque::new(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().expect("no holder of the stream's lock panics")
    }

    /// Takes the request that hyper has reached.
    pub(super) fn next(&self) -> Waiting<T> {
        self.lock().waiting.pop_front().unwrap_or(Waiting::Closed)
    }

    /// Reads ahead; to be polled after hyper, so that what still waits is blocked by a request
    /// under way and worth starting.
    pub(super) fn poll_ahead(
        &self,
        cx: &mut Context<'_>,
        start: impl Fn(&Request<()>) -> Option<T>,
    ) -> Poll<Ahead> {
        let mut state = self.lock();
        for waiting in &mut state.waiting {
            if let Waiting::Open(request) = waiting
                && let Some(started) = start(request)
            {
                let request = std::mem::take(request);
                *waiting = Waiting::Started(request, started);
            }
        }
        if state.ended {
            return Poll::Ready(Ahead::Ended);
        }
        if state.ahead.len() >= MOST_AHEAD {
            return Poll::Pending;
        }
        match ready!(state.poll_fill(cx)) {
            Ok(0) | Err(_) => Poll::Ready(Ahead::Ended),
            Ok(_) => Poll::Ready(Ahead::Data),
        }
    }
}

impl<T> State<T> {
    /// Reads once from the caller, and looks for requests in what came.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_SIZE];
        let mut buf = ReadBuf::new(&mut bytes);
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
        let filled = buf.filled();
        if read.is_err() || filled.is_empty() {
            self.ended = true;
        }
        self.ahead.extend_from_slice(filled);
        self.scan(filled);
        Poll::Ready(read.map(|()| filled.len()))
    }

    /// Looks for whole heads in the next bytes.
    fn scan(&mut self, mut bytes: &[u8]) {
        if let Framing::Body(left) = self.framing {
            let taken = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
            bytes = &bytes[taken..];
            self.framing = match left - taken as u64 {
                0 => Framing::Head,
                left => Framing::Body(left),
            };
        }
        if self.framing == Framing::Head {
            self.head.extend_from_slice(bytes);
        }
        while self.framing == Framing::Head && !self.head.is_empty() {
            match parse_head(&self.head) {
                Head::Partial => return,
                Head::Unclear => self.framing = Framing::Opaque,
                // Hyper goes on alone: the order of the requests would be lost.
                Head::Whole { .. } if self.waiting.len() >= MOST_WAITING => {
                    self.framing = Framing::Opaque;
                }
                Head::Whole { body, length, request } => {
                    self.head.advance(length);
                    self.waiting.push_back(request.map_or(Waiting::Closed, Waiting::Open));
                    let here = usize::try_from(body).unwrap_or(usize::MAX).min(self.head.len());
                    self.head.advance(here);
                    if here as u64 != body {
                        self.framing = Framing::Body(body - here as u64);
                    }
                }
            }
        }
        if self.framing == Framing::Opaque {
            self.head = BytesMut::new();
        }
    }
}

/// The beginning of a caller's bytes as a request's head.
enum Head {
    /// It is not all there.
    Partial,
    /// It is for hyper alone to judge.
    Unclear,
    /// It is whole: its own length, that of the body, and the request where it has no body.
    Whole { body: u64, length: usize, request: Option<Box<Request<()>>> },
}

fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => {
            return if bytes.len() < MOST_AHEAD / 2 { Head::Partial } else { Head::Unclear };
        }
        Err(_) => return Head::Unclear,
    };
    let Some(request) = to_request(&parsed) else { return Head::Unclear };
    let headers = request.headers();
    let special = [EXPECT, TRANSFER_ENCODING, UPGRADE];
    if special.iter().any(|name| headers.contains_key(name)) {
        return Head::Unclear;
    }
    let body = match headers.get(CONTENT_LENGTH) {
        None => 0,
        Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
            Some(body) => body,
            None => return Head::Unclear,
        },
    };
    let bodyless = body == 0 && matches!(*request.method(), Method::GET | Method::HEAD);
    Head::Whole { body, length, request: bodyless.then(|| Box::new(request)) }
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

impl<T> AsyncRead for EarlyStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.lock();
        while state.ahead.is_empty() && !state.ended {
            ready!(state.poll_fill(cx))?;
        }
        let length = state.ahead.len().min(buf.remaining());
        buf.put_slice(&state.ahead[..length]);
        state.ahead.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl<T> AsyncWrite for EarlyStream<T> {
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
