//! Limit on the bytes that a listener's connections read far ahead, all together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that the connections of a listener may buffer beyond what each may buffer by itself.
#[derive(Clone, Debug)]
pub(super) struct ReadAheadBudget(Arc<AtomicUsize>);

impl ReadAheadBudget {
    /// Sum over all connections.
    const MAX_BYTES: usize = 4 << 20;

    pub(super) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(Self::MAX_BYTES)))
    }

    /// Returns a share of a connection that holds nothing yet.
    pub(super) fn share(&self) -> ReadAheadShare {
        ReadAheadShare { budget: self.clone(), bytes: 0 }
    }
}

/// Part of the budget that a connection holds; returned when it is dropped.
#[derive(Debug)]
pub(super) struct ReadAheadShare {
    budget: ReadAheadBudget,
    bytes: usize,
}

impl ReadAheadShare {
    /// Takes from the budget until this share has a size, and returns whether it has.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(self.bytes);
        let take = |left: usize| left.checked_sub(wanted);
        let left = &self.budget.0;
        let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        if taken {
            self.bytes += wanted;
        }
        taken
    }

    /// Returns what exceeds a size to the budget.
    pub(super) fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.0.fetch_add(surplus, Ordering::Relaxed);
    }
}

impl Drop for ReadAheadShare {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
