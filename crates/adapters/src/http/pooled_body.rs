//! Response body that returns its connection to the pool once it is read to its end.

use super::{ConnectionPool, pooled_connection::PooledConnection};
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use steer::{Body, BodyError};

/// Owns the connection on which the response arrives. The connection returns to the pool at the end
/// of the body. If the body fails or is dropped earlier, the connection is closed, because unread
/// bytes would be parsed as the response to the next request.
pub(super) struct PooledBody {
    pub(super) address: SocketAddr,
    pub(super) connection: Option<PooledConnection>,
    pub(super) inner: Body,
    pub(super) pool: Arc<ConnectionPool>,
}

impl HttpBody for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => self.connection.iter().for_each(PooledConnection::record_progress),
            Some(Err(_)) => self.connection = None,
            None => self.check_in(),
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

impl PooledBody {
    fn check_in(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.check_in(self.address, connection);
        }
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        if self.inner.is_end_stream() {
            self.check_in();
        }
    }
}
