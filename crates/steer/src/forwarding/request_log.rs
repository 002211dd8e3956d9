//! Log of requests with a limit on its volume.

use super::LogBudget;
use crate::Meter;
use slog::Logger;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// Log for lines about requests. Its clones share one limit on the lines per second.
///
/// ```
/// use slog::{Discard, Logger, o};
/// use std::sync::Arc;
/// let log = steer::RequestLog::new(Logger::root(Discard, o!()), Arc::new(steer::NoMeter));
/// assert_eq!(log.try_acquire_line(), Some(0));
/// ```
#[derive(Clone, Debug)]
pub struct RequestLog {
    budget: Arc<Mutex<LogBudget>>,
    log: Logger,
    meter: Arc<dyn Meter>,
}

impl RequestLog {
    /// Maximum number of lines per second; the rest are only counted.
    const MAX_LINES_PER_SECOND: u32 = 40;

    /// Creates a log that writes to `log` and counts dropped lines with `meter`.
    pub fn new(log: Logger, meter: Arc<dyn Meter>) -> Self {
        let budget = Arc::new(Mutex::new(LogBudget::new(Self::MAX_LINES_PER_SECOND)));
        Self { budget, log, meter }
    }

    /// Returns the log to write to.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Counts a line against the limit. Returns how many lines were dropped before it, or `None` if
    /// this one must be dropped.
    pub fn try_acquire_line(&self) -> Option<u64> {
        let mut budget = self.budget.lock().expect("no holder of the log budget's lock panics");
        let dropped = budget.try_acquire(Instant::now());
        if dropped.is_none() {
            self.meter.count("log.dropped", 1);
        }
        dropped
    }
}
