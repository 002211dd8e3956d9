//! TCP stream that limits the bytes received without progress of the response.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Counts the bytes received since the last head or body frame of a response.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadProgress(Arc<AtomicUsize>);

impl ReadProgress {
    /// Records that a request begins, or that a head or a body frame has arrived.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// Fails a read once a server has sent too many bytes that belong neither to the head of a final
/// response nor to a body, such as interim responses or chunk sizes without end. The HTTP parser
/// drops such bytes as it reads them, so that the limits of its buffer don't apply.
#[derive(Debug)]
pub(super) struct LimitedStream {
    inner: TcpStream,
    progress: ReadProgress,
}

impl LimitedStream {
    /// Maximum number of bytes without progress; several times the parser's buffer, because frames
    /// count only once they are taken from the connection.
    pub(super) const MAX_UNPARSED: usize = 256 << 10;

    /// Maximum number of bytes of a read, which bounds the frames of a body: each connection holds a
    /// few of them while its caller doesn't read. One byte less than the parser's buffer, which
    /// doubles whenever a read fills it.
    const MAX_READ: usize = (8 << 10) - 1;

    pub(super) fn new(inner: TcpStream, progress: ReadProgress) -> Self {
        Self { inner, progress }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buf.remaining().min(Self::MAX_READ);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part))?;
        let received = part.filled().len();
        buf.advance(received);
        let unparsed = self.progress.0.fetch_add(received, Ordering::Relaxed) + received;
        if unparsed > Self::MAX_UNPARSED {
            let error = io::Error::new(io::ErrorKind::InvalidData, "response without end");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
