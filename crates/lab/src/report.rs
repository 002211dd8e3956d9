//! Results of a run.

use crate::{Arrival, Workload};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::{collections::BTreeMap, fmt::Write, time::Duration};

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

/// What a row is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    class: String,
    member: String,
    region: usize,
    short: bool,
}

#[derive(Debug)]
struct Row {
    counts: BTreeMap<Outcome, u64>,
    latency: Histogram<u64>,
    refusals: Histogram<u64>,
    work: Duration,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

/// Latencies and outcomes by region, class and member.
#[derive(Debug, Default)]
pub struct Report {
    rows: BTreeMap<Key, Row>,
}

impl Report {
    /// Notes one request.
    pub fn note(
        &mut self,
        arrival: &Arrival,
        workload: &Workload,
        outcome: Outcome,
        latency: Duration,
    ) {
        let key = Key {
            class: workload.label(),
            member: arrival.member.to_string(),
            region: arrival.region,
            short: workload.is_short(),
        };
        let row = self.rows.entry(key).or_insert_with(|| Row {
            counts: BTreeMap::new(),
            latency: new_histogram(),
            refusals: new_histogram(),
            work: Duration::ZERO,
        });
        *row.counts.entry(outcome).or_default() += 1;
        let us = latency.as_micros() as u64;
        match outcome {
            Outcome::Answered => {
                row.latency.record(us).expect("histograms that resize take all values");
                row.work += arrival.work;
            }
            Outcome::Failed => {}
            Outcome::Refused => {
                row.refusals.record(us).expect("histograms that resize take all values");
            }
        }
    }

    /// Requests with an outcome so far.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.rows.values().filter_map(|row| row.counts.get(&outcome)).sum()
    }

    /// Service time of all answered requests.
    pub fn work(&self) -> Duration {
        self.rows.values().map(|row| row.work).sum()
    }

    /// Service time of answered requests of a class, by member.
    pub fn work_by_member(&self, class: &str) -> BTreeMap<&str, Duration> {
        let mut work = BTreeMap::new();
        for (key, row) in self.rows.iter().filter(|(key, _)| key.class == class) {
            *work.entry(key.member.as_str()).or_default() += row.work;
        }
        work
    }

    /// Latency in milliseconds at a quantile over the rows that a filter picks.
    fn quantile(&self, quantile: f64, pick: impl Fn(&Key) -> bool) -> f64 {
        let mut all = new_histogram();
        for (_, row) in self.rows.iter().filter(|(key, _)| pick(key)) {
            all.add(&row.latency).expect("histograms that resize take all values");
        }
        all.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Latency of short work in milliseconds at a quantile.
    pub fn short_ms(&self, quantile: f64) -> f64 {
        self.quantile(quantile, |key| key.short)
    }

    /// Latency of one class in milliseconds at a quantile.
    pub fn class_ms(&self, class: &str, quantile: f64) -> f64 {
        self.quantile(quantile, |key| key.class == class)
    }

    /// Latency of short work of all members but one, in milliseconds at a quantile.
    pub fn short_ms_without(&self, member: &str, quantile: f64) -> f64 {
        self.quantile(quantile, |key| key.short && key.member != member)
    }

    /// Time until a refusal in milliseconds at a quantile.
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        let mut all = new_histogram();
        for row in self.rows.values() {
            all.add(&row.refusals).expect("histograms that resize take all values");
        }
        all.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Outcomes of a class.
    pub fn class_count(&self, class: &str, outcome: Outcome) -> u64 {
        let rows = self.rows.iter().filter(|(key, _)| key.class == class);
        rows.filter_map(|(_, row)| row.counts.get(&outcome)).sum()
    }

    /// Names of all classes.
    pub fn classes(&self) -> Vec<String> {
        let mut classes: Vec<String> = self.rows.keys().map(|key| key.class.clone()).collect();
        classes.dedup();
        classes
    }

    /// The rows joined over members, as a table.
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
        let pick = |key: &Key| key.class == class && key.region == index;
        let count = |outcome| -> u64 {
            let rows = self.rows.iter().filter(|(key, _)| pick(key));
            rows.filter_map(|(_, row)| row.counts.get(&outcome)).sum()
        };
        writeln!(
            table,
            "{region:<10} {class:<18} {:>8} {:>7} {:>6} {:>8.1} {:>8.1} {:>8.1}",
            count(Outcome::Answered),
            count(Outcome::Refused),
            count(Outcome::Failed),
            self.quantile(0.5, pick),
            self.quantile(0.99, pick),
            self.quantile(1.0, pick),
        )
        .expect("writing to a string can't fail");
    }

    /// The rows by class as JSON; times in milliseconds.
    pub fn to_json(&self) -> Value {
        let rows = self.classes().into_iter().map(|class| {
            let row = json!({
                "answered": self.class_count(&class, Outcome::Answered),
                "refused": self.class_count(&class, Outcome::Refused),
                "failed": self.class_count(&class, Outcome::Failed),
                "p50_ms": self.class_ms(&class, 0.5),
                "p99_ms": self.class_ms(&class, 0.99),
                "max_ms": self.class_ms(&class, 1.0),
            });
            (class, row)
        });
        Value::Object(rows.collect())
    }
}
