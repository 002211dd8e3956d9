//! Metrics through cadence.

use super::MetricAggregator;
use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use std::{
    fmt::{self, Debug, Formatter},
    io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};
use steer::Meter;

/// Sends metrics to a statsd server or aggregates them in the process.
pub struct StatsdMeter {
    client: StatsdClient,
}

impl StatsdMeter {
    /// Prefix of all metric names.
    pub const PREFIX: &'static str = "ragwortswitch";

    /// Creates a meter that sends to a statsd server over UDP.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket can't be bound.
    ///
    /// ```
    /// use steer::Meter;
    /// let meter = adapters::StatsdMeter::new("127.0.0.1:8125".parse().unwrap()).unwrap();
    /// meter.count("requests", 1);
    /// ```
    pub fn new(server: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket).map_err(io::Error::other)?;
        let client = StatsdClient::from_sink(Self::PREFIX, QueuingMetricSink::from(sink));
        Ok(Self { client })
    }

    /// Creates a meter that aggregates metrics in the process, and the handle that formats them.
    pub fn in_process() -> (Self, MetricAggregator) {
        let aggregator = MetricAggregator::default();
        let client = StatsdClient::from_sink(Self::PREFIX, aggregator.clone());
        (Self { client }, aggregator)
    }
}

// Metrics are best effort: errors from the sink are ignored.
impl Meter for StatsdMeter {
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

impl Debug for StatsdMeter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("StatsdMeter").finish_non_exhaustive()
    }
}
