//! Metrics by cadence, summed up in the process and served as text.

use super::metric_table::MetricTable;
use cadence::{Counted, Gauged, MetricSink, StatsdClient, Timed};
use std::{
    fmt::{self, Debug, Formatter},
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::Meter;

/// Sums up the lines that cadence writes.
#[derive(Clone, Debug, Default)]
struct TableSink(Arc<Mutex<MetricTable>>);

impl TableSink {
    fn lock(&self) -> MutexGuard<'_, MetricTable> {
        self.0.lock().expect("no holder of the table's lock panics")
    }
}

impl MetricSink for TableSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if !self.lock().note(metric) {
            return Err(io::Error::other(format!("no metric: {metric}")));
        }
        Ok(metric.len())
    }
}

/// Keeps counters, levels and histograms of times, to be read as text.
///
/// ```
/// use std::time::Duration;
/// use steer::Meter;
/// let meter = adapters::TextMeter::new();
/// meter.count("requests.served", 2);
/// meter.time("requests.time", Duration::from_millis(12));
/// assert!(meter.text().contains("ragwortswitch_requests_served 2\n"));
/// ```
pub struct TextMeter {
    client: StatsdClient,
    sink: TableSink,
}

impl TextMeter {
    /// Makes a meter that has seen nothing.
    pub fn new() -> Self {
        let sink = TableSink::default();
        let client = StatsdClient::from_sink(super::StatsdMeter::PREFIX, sink.clone());
        Self { client, sink }
    }

    /// All metrics, one a line in the order of their names.
    pub fn text(&self) -> String {
        self.sink.lock().text()
    }
}

impl Default for TextMeter {
    fn default() -> Self {
        Self::new()
    }
}

// The sink refuses only what cadence does not write.
impl Meter for TextMeter {
    fn count(&self, name: &str, n: u64) {
        drop(self.client.count(name, n));
    }

    fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }

    fn time(&self, name: &str, value: Duration) {
        drop(self.client.time(name, value));
    }
}

impl Debug for TextMeter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("TextMeter").finish_non_exhaustive()
    }
}
