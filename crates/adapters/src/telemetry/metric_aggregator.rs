//! Metrics that are aggregated in the process and served as text.

use super::metric_table::MetricTable;
use cadence::MetricSink;
use std::{
    io,
    sync::{Arc, Mutex, MutexGuard},
};

/// A cadence sink that aggregates metrics in memory.
///
/// ```
/// use std::time::Duration;
/// use steer::Meter;
/// let (meter, aggregator) = adapters::StatsdMeter::in_process();
/// meter.count("requests.served", 2);
/// meter.time("requests.time", Duration::from_millis(12));
/// assert!(aggregator.text().contains("ragwortswitch_requests_served 2\n"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MetricAggregator(Arc<Mutex<MetricTable>>);

impl MetricAggregator {
    fn lock(&self) -> MutexGuard<'_, MetricTable> {
        self.0.lock().expect("no thread panics while it holds the metric table")
    }

    /// Formats all metrics, one per line, sorted by name.
    pub fn text(&self) -> String {
        self.lock().text()
    }
}

impl MetricSink for MetricAggregator {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if !self.lock().record(metric) {
            return Err(io::Error::other(format!("invalid statsd line: {metric}")));
        }
        Ok(metric.len())
    }
}
