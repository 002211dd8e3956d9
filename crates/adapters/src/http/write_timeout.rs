//! TCP stream with a timeout on writes that make no progress.

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

/// Fails a write that makes no progress within the timeout, so that a peer that stops reading can't
/// occupy a connection slot indefinitely.
#[derive(Debug)]
pub(super) struct WriteTimeout {
    inner: TcpStream,
    timer: Option<Pin<Box<Sleep>>>,
    timeout: Duration,
}

impl WriteTimeout {
    pub(super) fn new(inner: TcpStream, timeout: Duration) -> Self {
        Self { inner, timer: None, timeout }
    }

    /// Resets the connection when it is closed, instead of ending it in order.
    pub(super) fn reset_on_close(&self) {
        // Fails only if the connection is gone, which the peer sees as a failure too.
        let _ = self.inner.set_zero_linger();
    }

    fn check_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.check_timeout(cx, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write_vectored(cx, parts);
        self.check_timeout(cx, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_flush(cx);
        self.check_timeout(cx, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
