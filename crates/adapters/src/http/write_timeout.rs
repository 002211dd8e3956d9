//! TCP stream with a timeout on writes that make no progress, whose end is seen behind unread bytes.

use socket2::SockRef;
use std::{
    io::{self, IoSlice, Read},
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Fails a write that makes no progress within the timeout, so that a peer that stops reading can't
/// occupy a connection slot indefinitely.
#[derive(Debug)]
pub(super) struct WriteTimeout {
    /// Shared with the future that waits for its end.
    inner: Arc<TcpStream>,
    timer: Option<Pin<Box<Sleep>>>,
    timeout: Duration,
}

impl WriteTimeout {
    pub(super) fn new(inner: TcpStream, timeout: Duration) -> Self {
        Self { inner: Arc::new(inner), timer: None, timeout }
    }

    /// Ends the connection with a reset when it is dropped, so that a body that broke off doesn't
    /// look complete. If the option can't be set, the connection has failed already.
    pub(super) fn reset_on_close(&self) {
        let _failed = self.inner.set_zero_linger();
    }

    /// Returns a future that ends when the peer has closed its sending side, or the connection has failed,
    /// whatever is left to be read before that.
    pub(super) fn wait_peer_end(&self) -> impl Future<Output = ()> + use<> {
        let stream = Arc::clone(&self.inner);
        async move {
            // Of the events that this interest stands for, the end alone is ever reported, as the
            // stream isn't registered for urgent data. An error is an end as well.
            let _end = stream.ready(Interest::PRIORITY).await;
        }
    }

    /// Writes as soon as the stream is writable.
    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let progress = loop {
            match self.inner.poll_write_ready(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => break Poll::Ready(Err(error)),
                Poll::Pending => break Poll::Pending,
            }
            match write(&self.inner) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => break Poll::Ready(written),
            }
        };
        self.check_timeout(cx, progress)
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

/// Reads once. A read that doesn't fill the buffer leaves nothing to be read, so the next one waits for
/// an event, as with a stream that isn't shared.
fn try_read(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    let mut read = None;
    let result = stream.try_io(Interest::READABLE, || {
        let length = (&*SockRef::from(stream)).read(bytes)?;
        read = Some(length);
        let is_drained = 0 < length && length < bytes.len();
        if is_drained { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(()) }
    });
    match read {
        Some(length) => Ok(length),
        None => result.map(|()| 0),
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes = buf.initialize_unfilled();
        loop {
            ready!(self.inner.poll_read_ready(cx))?;
            match try_read(&self.inner, bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|length| buf.advance(length))),
            }
        }
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.inner).shutdown(Shutdown::Write))
    }
}
