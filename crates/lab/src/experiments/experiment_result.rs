//! The result of an experiment, and its output as table, JSON and plot.

use super::{Bound, plot::plot_latencies};
use crate::{RunReport, RunResult};
use serde_json::{Value, json};
use std::{error::Error, fmt::Write, fs, path::Path};

/// Quantiles in the table, with their row labels.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)];

/// The result of an experiment.
#[derive(Debug)]
pub struct ExperimentResult {
    /// The bounds with the measured figures.
    pub bounds: Vec<Bound>,
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Simulated report of the ideal load balancer for the arrivals of the first run.
    pub ideal: Option<RunReport>,
    /// Name of the experiment.
    pub name: String,
    /// The runs.
    pub runs: Vec<RunResult>,
    /// Seed of all runs.
    pub seed: u64,
}

impl ExperimentResult {
    /// Returns whether every bound holds.
    pub fn holds(&self) -> bool {
        self.bounds.iter().all(Bound::holds)
    }

    /// Returns the weighted mean score of the bounds, from 0 to 1.
    pub fn score(&self) -> f64 {
        let weight = |b: &Bound| b.measure.weight(self.deployment);
        let total: f64 = self.bounds.iter().map(weight).sum();
        self.bounds.iter().map(|b| b.score() * weight(b)).sum::<f64>() / total
    }

    fn reports(&self) -> impl Iterator<Item = (&str, &RunReport)> {
        let runs = self.runs.iter().map(|run| (run.label.as_str(), &run.report));
        runs.chain(self.ideal.iter().map(|report| ("ideal", report)))
    }

    /// Formats the result as text tables.
    pub fn to_table(&self) -> String {
        let mut table = String::new();
        let write = |table: &mut String| -> Result<(), std::fmt::Error> {
            for run in &self.runs {
                writeln!(table, "{}\n{}", run.label, run.report.to_table(&run.regions))?;
                for (reason, count) in &run.checks.reasons {
                    writeln!(table, "  {count:>6} {reason}")?;
                }
                for (at, event) in &run.events {
                    writeln!(table, "  at {:.1} s: {event}", at.as_secs_f64())?;
                }
            }
            write!(table, "{:<26}", "latency in ms")?;
            for (label, _) in self.reports() {
                write!(table, " {label:>16}")?;
            }
            writeln!(table)?;
            for (head, quantile) in QUANTILES {
                write!(table, "{:<26}", format!("short work {head}"))?;
                for (_, report) in self.reports() {
                    write!(table, " {:>16.1}", report.interactive_ms(quantile))?;
                }
                writeln!(table)?;
            }
            for class in self.runs.first().map(|r| r.report.classes()).unwrap_or_default() {
                write!(table, "{:<26}", format!("{class} p99"))?;
                for (_, report) in self.reports() {
                    write!(table, " {:>16.1}", report.class_ms(&class, 0.99))?;
                }
                writeln!(table)?;
            }
            writeln!(table, "\n{:<58} {:>10} {:>10}", "bound", "figure", "limit")?;
            for bound in &self.bounds {
                let (sign, verdict) = (
                    if bound.at_least { "≥" } else { "≤" },
                    if bound.holds() { "" } else { "  FALLS SHORT" },
                );
                writeln!(
                    table,
                    "{:<58} {:>10.3} {sign}{:>9.3}{verdict}",
                    bound.text, bound.figure, bound.limit
                )?;
            }
            writeln!(table, "\nscore for {}: {:.3}", self.deployment, self.score())
        };
        write(&mut table).expect("writing to a string can't fail");
        table
    }

    fn to_json(&self) -> Value {
        let runs = self.runs.iter().map(|run| {
            json!({
                "label": run.label,
                "classes": run.report.to_json(),
                "checks": run.checks.to_json(),
                "requests": run.arrivals.len(),
            })
        });
        let bounds = self.bounds.iter().map(|b| {
            json!({
                "text": b.text,
                "figure": b.figure,
                "limit": b.limit,
                "at_least": b.at_least,
                "measure": b.measure.to_string(),
                "holds": b.holds(),
            })
        });
        json!({
            "experiment": self.name,
            "deployment": self.deployment,
            "seed": self.seed,
            "runs": runs.collect::<Vec<_>>(),
            "ideal": self.ideal.as_ref().map(RunReport::to_json),
            "bounds": bounds.collect::<Vec<_>>(),
            "score": self.score(),
        })
    }

    /// Writes the result to a directory as `NAME-DEPLOYMENT-SEED.json` and `.svg`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn save(&self, directory: &Path) -> Result<(), Box<dyn Error>> {
        fs::create_dir_all(directory)?;
        let stem = format!("{}-{}-{}", self.name, self.deployment, self.seed);
        let text = serde_json::to_string_pretty(&self.to_json())?;
        fs::write(directory.join(format!("{stem}.json")), text)?;
        let title = format!("{} on {}: latency of short work", self.name, self.deployment);
        let svg = directory.join(format!("{stem}.svg"));
        let reports: Vec<_> = self.reports().collect();
        plot_latencies(&svg, &title, &reports)
    }
}
