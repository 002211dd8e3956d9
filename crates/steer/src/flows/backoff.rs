//! Exponential backoff with jitter.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Exponential backoff whose jitter is derived from the VM's name, so that the VMs of a region that
/// start together don't call at the same time.
///
/// ```
/// let mut backoff = steer::Backoff::new("entry-1");
/// let (first, second) = (backoff.next_pause(), backoff.next_pause());
/// assert!(first < second);
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    seed: u64,
}

impl Backoff {
    /// Pause after the first failure, before jitter.
    pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(200);
    /// Maximum pause, before jitter.
    const MAX_PAUSE: Duration = Duration::from_secs(5);

    /// Creates a backoff without failures.
    pub fn new(name: &str) -> Self {
        Self { failures: 0, seed: xxh3_64(name.as_bytes()) }
    }

    /// Returns the pause before the first call, which is less than 250 ms.
    pub fn initial_pause(&self) -> Duration {
        Duration::from_millis(self.seed % 250)
    }

    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the pause before the next call.
    pub fn next_pause(&mut self) -> Duration {
        let pause = (Self::FIRST_PAUSE * (1 << self.failures.min(5))).min(Self::MAX_PAUSE);
        let random = xxh3_64(&(self.seed ^ u64::from(self.failures)).to_le_bytes());
        self.failures = self.failures.saturating_add(1);
        pause.mul_f64(0.75 + (random % 1000) as f64 / 4000.0)
    }
}
