//! Metrics that are summed up in the process and served as text.

use super::metric_table::MetricTable;
use cadence::MetricSink;
use std::{
    io,
    sync::{Arc, Mutex, MutexGuard},
};

/// Sums up the lines that cadence writes.
///
/// ```
/// use std::time::Duration;
/// use steer::Meter;
/// let (meter, sums) = adapters::StatsdMeter::summed();
/// meter.count("requests.served", 2);
/// meter.time("requests.time", Duration::from_millis(12));
/// assert!(sums.text().contains("ragwortswitch_requests_served 2\n"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MetricSums(Arc<Mutex<MetricTable>>);

impl MetricSums {
    fn lock(&self) -> MutexGuard<'_, MetricTable> {
        self.0.lock().expect("no holder of the table's lock panics")
    }

    /// All metrics, one a line in the order of their names.
    pub fn text(&self) -> String {
        self.lock().text()
    }
}

impl MetricSink for MetricSums {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if !self.lock().note(metric) {
            return Err(io::Error::other(format!("no metric: {metric}")));
        }
        Ok(metric.len())
    }
}
