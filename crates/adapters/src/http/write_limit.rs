//! A connection that fails where its other side takes no bytes for too long.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Bounds the time of a write without progress, so that a slow caller holds no slot for ever.
#[derive(Debug)]
pub(super) struct WriteLimit {
    inner: TcpStream,
    timer: Option<Pin<Box<Sleep>>>,
    wait: Duration,
}

impl WriteLimit {
    pub(super) fn new(inner: TcpStream, wait: Duration) -> Self {
        Self { inner, timer: None, wait }
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let wait = self.wait;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(wait)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.check(cx, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write_vectored(cx, parts);
        self.check(cx, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_flush(cx);
        self.check(cx, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
