//! What the requests of a connection say about it.

use http::Version;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Tracks the requests that hyper has read from a connection.
#[derive(Debug, Default)]
pub(super) struct RequestTracker {
    http2: AtomicBool,
    processing: AtomicUsize,
    requested: AtomicBool,
    unframed: AtomicBool,
}

impl RequestTracker {
    /// Records a request, which is processed until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>, version: Version) -> ProcessingGuard {
        self.requested.store(true, Ordering::Relaxed);
        self.http2.store(version == Version::HTTP_2, Ordering::Relaxed);
        self.unframed.store(version == Version::HTTP_10, Ordering::Relaxed);
        self.processing.fetch_add(1, Ordering::Relaxed);
        ProcessingGuard(Arc::clone(self))
    }

    /// Returns whether a request has come.
    pub(super) fn has_requests(&self) -> bool {
        self.requested.load(Ordering::Relaxed)
    }

    /// Returns whether the latest request came over HTTP/2.
    pub(super) fn is_http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }

    /// Returns whether the end of the connection may end the body of the latest response, as
    /// HTTP/1.0 has no chunks.
    pub(super) fn is_unframed(&self) -> bool {
        self.unframed.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that are processed.
    pub(super) fn processing(&self) -> usize {
        self.processing.load(Ordering::Relaxed)
    }
}

/// Counts a request that is processed, until its response is passed on or it is cancelled.
#[derive(Debug)]
pub(super) struct ProcessingGuard(Arc<RequestTracker>);

impl Drop for ProcessingGuard {
    fn drop(&mut self) {
        self.0.processing.fetch_sub(1, Ordering::Relaxed);
    }
}
