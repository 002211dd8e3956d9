//! Growing pauses after failures.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Gives pauses that grow after each failure, with jitter by the VM's name, so that the VMs of
/// a region that start together don't call together.
///
/// ```
/// let mut backoff = steer::Backoff::new("entry-1");
/// let (first, second) = (backoff.fail(), backoff.fail());
/// assert!(first < second);
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    seed: u64,
}

impl Backoff {
    /// First pause, before jitter.
    const FIRST: Duration = Duration::from_millis(200);
    /// Longest pause, before jitter.
    const LONGEST: Duration = Duration::from_secs(5);

    /// Starts without failures.
    pub fn new(name: &str) -> Self {
        Self { failures: 0, seed: xxh3_64(name.as_bytes()) }
    }

    /// A pause before the first call, up to a quarter of a second.
    pub fn start(&self) -> Duration {
        Duration::from_millis(self.seed % 250)
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and gives the pause before the next call.
    pub fn fail(&mut self) -> Duration {
        let pause = (Self::FIRST * (1 << self.failures.min(5))).min(Self::LONGEST);
        let draw = xxh3_64(&(self.seed ^ u64::from(self.failures)).to_le_bytes());
        self.failures = self.failures.saturating_add(1);
        pause.mul_f64(0.75 + (draw % 1000) as f64 / 4000.0)
    }
}
