//! Results of a run as a table.

use hdrhistogram::Histogram;
use std::{collections::BTreeMap, fmt::Write, time::Duration};

/// Highest latency that is told apart, in microseconds.
const HIGHEST_US: u64 = 600_000_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The whole answer came.
    Answered,
    /// No whole answer came.
    Failed,
    /// It was refused without having run.
    Refused,
}

#[derive(Debug)]
struct Row {
    counts: BTreeMap<Outcome, u64>,
    latency: Histogram<u64>,
}

/// Latencies and outcomes by region, service and class.
#[derive(Debug, Default)]
pub struct Report {
    rows: BTreeMap<(String, String), Row>,
}

impl Report {
    /// Notes one request.
    pub fn note(&mut self, region: &str, class: &str, outcome: Outcome, latency: Duration) {
        let row = self.rows.entry((region.to_owned(), class.to_owned())).or_insert_with(|| Row {
            counts: BTreeMap::new(),
            latency: Histogram::new_with_max(HIGHEST_US, 3).expect("the bounds are valid"),
        });
        *row.counts.entry(outcome).or_default() += 1;
        if outcome == Outcome::Answered {
            row.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Requests with an outcome so far.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.rows.values().filter_map(|row| row.counts.get(&outcome)).sum()
    }

    /// Writes the table.
    pub fn to_table(&self) -> String {
        let mut table = format!(
            "{:<12} {:<28} {:>8} {:>8} {:>7} {:>9} {:>9} {:>9}\n",
            "region",
            "service/class",
            "answered",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "max ms"
        );
        for ((region, class), row) in &self.rows {
            let count = |outcome| row.counts.get(&outcome).copied().unwrap_or(0);
            let ms = |us: u64| us as f64 / 1e3;
            writeln!(
                table,
                "{region:<12} {class:<28} {:>8} {:>8} {:>7} {:>9.1} {:>9.1} {:>9.1}",
                count(Outcome::Answered),
                count(Outcome::Refused),
                count(Outcome::Failed),
                ms(row.latency.value_at_quantile(0.5)),
                ms(row.latency.value_at_quantile(0.99)),
                ms(row.latency.max()),
            )
            .expect("writing to a string can't fail");
        }
        table
    }
}
