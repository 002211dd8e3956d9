//! Counters, levels and histograms by name.

use hdrhistogram::Histogram;
use std::{collections::BTreeMap, fmt::Write};

/// Longest time that a histogram tells from longer ones, in milliseconds.
const LONGEST_MS: u64 = 120_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;
/// Quantiles that are written.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug)]
enum Metric {
    Counter(u64),
    Level(u64),
    Times { histogram: Histogram<u32>, sum: u64 },
}

/// Sums up metrics in the notation of statsd.
#[derive(Debug, Default)]
pub(super) struct MetricTable {
    metrics: BTreeMap<String, Metric>,
}

impl MetricTable {
    /// Takes one metric, such as `requests:1|c`; tells whether it could be read.
    pub(super) fn note(&mut self, metric: &str) -> bool {
        let parts = metric.split_once(':').and_then(|(name, rest)| {
            let (value, kind) = rest.split_once('|')?;
            Some((name, value.parse::<u64>().ok()?, kind))
        });
        let Some((name, value, kind)) = parts else { return false };
        let Some(fresh) = Metric::new(kind) else { return false };
        // Names repeat: only the first one is copied.
        let held = match self.metrics.get_mut(name) {
            Some(held) => held,
            None => self.metrics.entry(name.to_owned()).or_insert(fresh),
        };
        held.note(value);
        true
    }

    /// All metrics, one a line.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        for (name, metric) in &self.metrics {
            let name = name.replace(['.', '-'], "_");
            metric.write(&name, &mut text).expect("a string takes all that is written");
        }
        text
    }
}

impl Metric {
    fn new(kind: &str) -> Option<Self> {
        match kind {
            "c" => Some(Self::Counter(0)),
            "g" => Some(Self::Level(0)),
            "ms" => {
                let histogram = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS).ok()?;
                Some(Self::Times { histogram, sum: 0 })
            }
            _ => None,
        }
    }

    fn note(&mut self, value: u64) {
        match self {
            Self::Counter(sum) => *sum += value,
            Self::Level(level) => *level = value,
            Self::Times { histogram, sum } => {
                histogram.saturating_record(value);
                *sum += value;
            }
        }
    }

    fn write(&self, name: &str, text: &mut String) -> std::fmt::Result {
        match self {
            Self::Counter(value) | Self::Level(value) => writeln!(text, "{name} {value}"),
            Self::Times { histogram, sum } => {
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
