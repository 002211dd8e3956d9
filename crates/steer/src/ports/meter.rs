//! The port for metrics.

use std::{fmt::Debug, time::Duration};

/// Sink for metrics; `docs/METRICS.md` lists the names.
pub trait Meter: Debug + Send + Sync {
    /// Adds `n` to a counter.
    fn count(&self, name: &str, n: u64);
    /// Sets a gauge.
    fn gauge(&self, name: &str, value: u64);
    /// Records a duration.
    fn time(&self, name: &str, value: Duration);
}

/// Discards all metrics.
///
/// ```
/// use steer::{Meter, NoMeter};
/// NoMeter.count("requests", 1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct NoMeter;

impl Meter for NoMeter {
    fn count(&self, _name: &str, _n: u64) {}
    fn gauge(&self, _name: &str, _value: u64) {}
    fn time(&self, _name: &str, _value: Duration) {}
}
