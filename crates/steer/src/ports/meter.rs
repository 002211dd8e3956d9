//! Metrics.

use std::{fmt::Debug, time::Duration};

/// Takes counts, levels and times under the names in `docs/METRICS.md`.
pub trait Meter: Debug + Send + Sync {
    /// Adds to a counter.
    fn count(&self, name: &str, n: u64);
    /// Sets a level.
    fn gauge(&self, name: &str, value: u64);
    /// Records a time.
    fn time(&self, name: &str, value: Duration);
}

/// Drops every metric.
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
