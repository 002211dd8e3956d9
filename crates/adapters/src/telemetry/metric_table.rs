//! Counters, gauges and histograms by name.

use hdrhistogram::Histogram;
use std::{collections::BTreeMap, fmt::Write};

/// Highest value that a histogram records, in milliseconds; longer times count as this value.
const MAX_TIME_MS: u64 = 120_000;
/// Precision of a histogram in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles in the text output.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug)]
enum Metric {
    Counter(u64),
    Gauge(u64),
    Timer { histogram: Histogram<u32>, sum: u64 },
}

/// Aggregates metrics that arrive as statsd lines.
#[derive(Debug, Default)]
pub(super) struct MetricTable {
    metrics: BTreeMap<String, Metric>,
}

impl MetricTable {
    /// Records one statsd line, such as `requests:1|c`; returns whether it could be parsed.
    pub(super) fn record(&mut self, line: &str) -> bool {
        let parts = line.split_once(':').and_then(|(name, rest)| {
            let (value, kind) = rest.split_once('|')?;
            Some((name, value.parse::<u64>().ok()?, kind))
        });
        let Some((name, value, kind)) = parts else { return false };
        let Some(new) = Metric::new(kind) else { return false };
        // Looks the name up before `entry`, so that only the first use of a name copies it.
        let stored = match self.metrics.get_mut(name) {
            Some(stored) => stored,
            None => self.metrics.entry(name.to_owned()).or_insert(new),
        };
        stored.record(value);
        true
    }

    /// Formats all metrics, one value per line, sorted by name.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        for (name, metric) in &self.metrics {
            let name = name.replace(['.', '-'], "_");
            metric.write(&name, &mut text).expect("writing to a string never fails");
        }
        text
    }
}

impl Metric {
    fn new(kind: &str) -> Option<Self> {
        match kind {
            "c" => Some(Self::Counter(0)),
            "g" => Some(Self::Gauge(0)),
            "ms" => {
                let histogram =
                    Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS).ok()?;
                Some(Self::Timer { histogram, sum: 0 })
            }
            _ => None,
        }
    }

    fn record(&mut self, value: u64) {
        match self {
            Self::Counter(sum) => *sum += value,
            Self::Gauge(gauge) => *gauge = value,
            Self::Timer { histogram, sum } => {
                histogram.saturating_record(value);
                *sum += value;
            }
        }
    }

    fn write(&self, name: &str, text: &mut String) -> std::fmt::Result {
        match self {
            Self::Counter(value) | Self::Gauge(value) => writeln!(text, "{name} {value}"),
            Self::Timer { histogram, sum } => {
                for quantile in QUANTILES {
                    let value = histogram.value_at_quantile(quantile);
                    writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}")?;
                }
                writeln!(text, "{name}_ms_sum {sum}")?;
                writeln!(text, "{name}_ms_count {}", histogram.len())
            }
        }
    }
}
