//! Latency and outcome statistics of a run.

use crate::{Arrival, Workload};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::{collections::BTreeMap, fmt::Write, time::Duration};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestOutcome {
    /// The complete response arrived.
    Answered,
    /// No complete response arrived.
    Failed,
    /// The request was refused without having run.
    Refused,
}

/// Key by which requests are grouped into rows.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RowKey {
    class: String,
    member: String,
    region: usize,
    is_interactive: bool,
}

#[derive(Debug)]
struct ReportRow {
    counts: BTreeMap<RequestOutcome, u64>,
    latency: Histogram<u64>,
    refusals: Histogram<u64>,
    work: Duration,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

/// Latencies and outcomes by region, class and member.
#[derive(Debug, Default)]
pub struct RunReport {
    rows: BTreeMap<RowKey, ReportRow>,
}

impl RunReport {
    /// Records a finished request.
    pub fn record(
        &mut self,
        arrival: &Arrival,
        workload: &Workload,
        outcome: RequestOutcome,
        latency: Duration,
    ) {
        let key = RowKey {
            class: workload.label(),
            member: arrival.member.to_string(),
            region: arrival.region,
            is_interactive: workload.is_interactive(),
        };
        let row = self.rows.entry(key).or_insert_with(|| ReportRow {
            counts: BTreeMap::new(),
            latency: new_histogram(),
            refusals: new_histogram(),
            work: Duration::ZERO,
        });
        *row.counts.entry(outcome).or_default() += 1;
        let us = latency.as_micros() as u64;
        match outcome {
            RequestOutcome::Answered => {
                row.latency.record(us).expect("an auto-resizing histogram accepts all values");
                row.work += arrival.work;
            }
            RequestOutcome::Failed => {}
            RequestOutcome::Refused => {
                row.refusals.record(us).expect("an auto-resizing histogram accepts all values");
            }
        }
    }

    /// Number of requests with an outcome so far.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.rows.values().filter_map(|row| row.counts.get(&outcome)).sum()
    }

    /// Total service time of the answered requests.
    pub fn work(&self) -> Duration {
        self.rows.values().map(|row| row.work).sum()
    }

    /// Total service time of the answered requests of a class, by member.
    pub fn work_by_member(&self, class: &str) -> BTreeMap<&str, Duration> {
        let mut work = BTreeMap::new();
        for (key, row) in self.rows.iter().filter(|(key, _)| key.class == class) {
            *work.entry(key.member.as_str()).or_default() += row.work;
        }
        work
    }

    /// Latency quantile over the rows that match a filter, in milliseconds.
    fn quantile(&self, quantile: f64, filter: impl Fn(&RowKey) -> bool) -> f64 {
        let mut merged = new_histogram();
        for (_, row) in self.rows.iter().filter(|(key, _)| filter(key)) {
            merged.add(&row.latency).expect("an auto-resizing histogram accepts all values");
        }
        merged.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Latency quantile of interactive requests, in milliseconds.
    pub fn interactive_ms(&self, quantile: f64) -> f64 {
        self.quantile(quantile, |key| key.is_interactive)
    }

    /// Latency quantile of a class, in milliseconds.
    pub fn class_ms(&self, class: &str, quantile: f64) -> f64 {
        self.quantile(quantile, |key| key.class == class)
    }

    /// Latency quantile of the interactive requests of all other members, in milliseconds.
    pub fn interactive_ms_without(&self, member: &str, quantile: f64) -> f64 {
        self.quantile(quantile, |key| key.is_interactive && key.member != member)
    }

    /// Quantile of the time until a refusal, in milliseconds.
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        let mut merged = new_histogram();
        for row in self.rows.values() {
            merged.add(&row.refusals).expect("an auto-resizing histogram accepts all values");
        }
        merged.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Number of requests of a class with an outcome.
    pub fn class_count(&self, class: &str, outcome: RequestOutcome) -> u64 {
        let rows = self.rows.iter().filter(|(key, _)| key.class == class);
        rows.filter_map(|(_, row)| row.counts.get(&outcome)).sum()
    }

    /// Names of all classes.
    pub fn classes(&self) -> Vec<String> {
        let mut classes: Vec<String> = self.rows.keys().map(|key| key.class.clone()).collect();
        classes.dedup();
        classes
    }

    /// Formats a table by class and region, aggregated over members.
    pub fn to_table(&self, regions: &[String]) -> String {
        let mut table = format!(
            "{:<10} {:<18} {:>8} {:>7} {:>6} {:>8} {:>8} {:>8}\n",
            "region",
            "service/class",
            "answered",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "max ms"
        );
        for class in self.classes() {
            for (index, region) in regions.iter().enumerate() {
                self.write_row(&mut table, &class, index, region);
            }
        }
        table
    }

    fn write_row(&self, table: &mut String, class: &str, index: usize, region: &str) {
        let filter = |key: &RowKey| key.class == class && key.region == index;
        let count = |outcome| -> u64 {
            let rows = self.rows.iter().filter(|(key, _)| filter(key));
            rows.filter_map(|(_, row)| row.counts.get(&outcome)).sum()
        };
        writeln!(
            table,
            "{region:<10} {class:<18} {:>8} {:>7} {:>6} {:>8.1} {:>8.1} {:>8.1}",
            count(RequestOutcome::Answered),
            count(RequestOutcome::Refused),
            count(RequestOutcome::Failed),
            self.quantile(0.5, filter),
            self.quantile(0.99, filter),
            self.quantile(1.0, filter),
        )
        .expect("writing to a string never fails");
    }

    /// Statistics by class as JSON.
    pub fn to_json(&self) -> Value {
        let rows = self.classes().into_iter().map(|class| {
            let row = json!({
                "answered": self.class_count(&class, RequestOutcome::Answered),
                "refused": self.class_count(&class, RequestOutcome::Refused),
                "failed": self.class_count(&class, RequestOutcome::Failed),
                "p50_ms": self.class_ms(&class, 0.5),
                "p99_ms": self.class_ms(&class, 0.99),
                "max_ms": self.class_ms(&class, 1.0),
            });
            (class, row)
        });
        Value::Object(rows.collect())
    }
}
