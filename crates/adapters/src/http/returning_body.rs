//! An answer's body that gives its connection back when it has ended cleanly.

use super::ConnectionPool;
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::client::conn::http1::SendRequest;
use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use steer::{Body, BodyError};

/// Holds a connection until the answer's last byte is read; where the body is dropped before,
/// the connection is closed.
pub(super) struct ReturningBody {
    pub(super) address: SocketAddr,
    pub(super) connection: Option<SendRequest<Body>>,
    pub(super) inner: Body,
    pub(super) pool: Arc<ConnectionPool>,
}

impl HttpBody for ReturningBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.connection = None,
            None => self.give_back(),
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

impl ReturningBody {
    fn give_back(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.give_back(self.address, connection);
        }
    }
}

impl Drop for ReturningBody {
    fn drop(&mut self) {
        if self.inner.is_end_stream() {
            self.give_back();
        }
    }
}
