//! Faults of the stand-in for the platform.

use std::time::Duration;

/// Faults and rate limits of the stand-in for the platform, which can be changed while it runs.
///
/// ```
/// use lab::PlatformFaults;
/// use std::time::Duration;
/// let faults = PlatformFaults::new().delay(Duration::from_millis(300)).lose_answers(3);
/// assert!(!faults.is_down());
/// assert!(faults.outage(true).is_down());
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformFaults {
    pub(super) delay: Duration,
    pub(super) list_lag: Duration,
    pub(super) lose_every: u64,
    pub(super) outage: bool,
    pub(super) read_lag: Duration,
    pub(super) read_rate: u64,
    pub(super) repeat: bool,
    pub(super) skip: bool,
    pub(super) write_rate: u64,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            delay: Duration::ZERO,
            list_lag: Duration::ZERO,
            lose_every: 0,
            outage: false,
            read_lag: Duration::ZERO,
            read_rate: 2000,
            repeat: false,
            skip: false,
            write_rate: 500,
        }
    }
}

impl PlatformFaults {
    /// Returns no faults, and the rate limits of the real platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether every call fails.
    pub fn is_down(&self) -> bool {
        self.outage
    }

    /// Delays each response.
    #[must_use]
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Serves the list of VMs as it was `lag` ago.
    #[must_use]
    pub fn list_lag(mut self, lag: Duration) -> Self {
        self.list_lag = lag;
        self
    }

    /// Drops the response to every n-th write, which still takes effect. 0 drops none.
    #[must_use]
    pub fn lose_answers(mut self, every: u64) -> Self {
        self.lose_every = every;
        self
    }

    /// Sets whether every call fails.
    #[must_use]
    pub fn outage(mut self, outage: bool) -> Self {
        self.outage = outage;
        self
    }

    /// Serves reads and lists of objects as they were `lag` ago.
    #[must_use]
    pub fn read_lag(mut self, lag: Duration) -> Self {
        self.read_lag = lag;
        self
    }

    /// Limits the reads per second; a long-polling watch counts as one read.
    #[must_use]
    pub fn read_rate(mut self, rate: u64) -> Self {
        self.read_rate = rate;
        self
    }

    /// Sets whether watches return objects that they returned before.
    #[must_use]
    pub fn repeat_watches(mut self, repeat: bool) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets whether watches omit changes.
    #[must_use]
    pub fn skip_watches(mut self, skip: bool) -> Self {
        self.skip = skip;
        self
    }

    /// Limits the writes per second.
    #[must_use]
    pub fn write_rate(mut self, rate: u64) -> Self {
        self.write_rate = rate;
        self
    }
}
