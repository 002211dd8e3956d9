//! Limit on the memory of all messages that are buffered at a time.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bounds the bytes of all messages that a process buffers at a time. A message that finds no room is
/// passed on as a stream.
///
/// ```
/// let budget = steer::BufferBudget::new(1_000);
/// let permit = budget.try_acquire(600).unwrap();
/// assert!(budget.try_acquire(600).is_none());
/// drop(permit);
/// assert!(budget.try_acquire(600).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct BufferBudget(Arc<Semaphore>);

/// Reserves bytes of a budget until it is dropped.
#[derive(Debug)]
pub struct BufferPermit {
    _permit: OwnedSemaphorePermit,
}

impl BufferBudget {
    /// Bytes of requests and responses that a router buffers at a time: a tenth of the memory of the
    /// smallest VMs.
    pub const ROUTER_BYTES: usize = 16 << 20;

    /// Creates a budget of some bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes)))
    }

    /// Reserves some bytes; `None` if too few are left.
    pub fn try_acquire(&self, bytes: usize) -> Option<BufferPermit> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = Arc::clone(&self.0).try_acquire_many_owned(bytes).ok()?;
        Some(BufferPermit { _permit: permit })
    }
}
