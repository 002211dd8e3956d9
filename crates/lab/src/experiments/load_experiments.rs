//! Experiments under load: steady, surge, slow targets, uploads and a flood.

use super::{Bound, ExperimentResult, Measure, catalogue::Bench};
use crate::{Action, Outcome, RunResult, ideal_report, workloads};
use std::{collections::BTreeMap, error::Error, time::Duration};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Part of the naive policy's latency above the ideal from which on it counts as queueing.
const QUEUES: f64 = 1.5;

/// Steady load on 50, 80 and 95% of the slots.
pub(super) async fn steady(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario = bench.scenario(0.8);
    let middle = bench.run("current 80%", &scenario).await?;
    let naive = bench.run_naive(&scenario).await?;
    let low = bench.run("current 50%", &bench.scenario(0.5)).await?;
    let high = bench.run("current 95%", &bench.scenario(0.95)).await?;
    let ideal = ideal_p99(bench, &middle)?;
    let p99 = middle.report.short_ms(0.99);
    let refused = middle.report.count(Outcome::Refused) + middle.report.count(Outcome::Failed);
    let mut bounds = vec![
        over_slots(&middle),
        Bound::none("80%: requests refused or failed", refused),
        Bound::at_most(Measure::Latency, "80%: p99 of short work by ideal", p99 / ideal, 1.3),
    ];
    if let Some(naive) = &naive {
        let theirs = naive.report.short_ms(0.99);
        if theirs > QUEUES * ideal {
            let text = "80%: p99 of short work by naive, which queues";
            bounds.push(Bound::at_most(Measure::Latency, text, p99 / theirs, 0.5));
        }
    }
    let runs = [Some(middle), naive, Some(low), Some(high)].into_iter().flatten().collect();
    bench.finish(runs, bounds)
}

/// Twice as much work as all slots can do.
pub(super) async fn surge(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let scenario = bench.scenario(2.0);
    let current = bench.run("current 200%", &scenario).await?;
    let naive = bench.run_naive(&scenario).await?;
    let path = 2.0 * bench.deployment.client_delay();
    let bounds = vec![
        over_slots(&current),
        Bound::at_least(Measure::Headroom, "goodput by capacity", goodput(&current), 0.95),
        Bound::at_most(
            Measure::Latency,
            "p99 of the time to a refusal, without the path, ms",
            current.report.refusal_ms(0.99) - path,
            50.0,
        ),
        Bound::at_most(
            Measure::Headroom,
            "runs by request that ran",
            current.checks.run_ratio,
            1.1,
        ),
    ];
    bench.finish([Some(current), naive].into_iter().flatten().collect(), bounds)
}

/// Two of twelve targets slowed tenfold, with load reports that come late.
pub(super) async fn slow_targets(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let (service, class) = bench.main_class();
    let base = bench.scenario(0.5);
    let slowed = base.clone().at(2.0, Action::SlowTargets(two_targets(bench, service)?, 10.0));
    let current = bench.run("current", &slowed).await?;
    let healthy = bench.run("current, none slowed", &base).await?;
    let naive = bench.run_naive(&slowed).await?;
    let ratio = current.report.class_ms(class, 0.99) / healthy.report.class_ms(class, 0.99);
    let all = current.report.short_ms(0.99) / healthy.report.short_ms(0.99);
    let bounds = vec![
        over_slots(&current),
        Bound::at_most(Measure::TailLatency, format!("p99 of {class} by none slowed"), ratio, 1.5),
        Bound::at_most(Measure::TailLatency, "p99 of short work by none slowed", all, 1.5),
    ];
    bench.finish([Some(current), Some(healthy), naive].into_iter().flatten().collect(), bounds)
}

/// Short reads beside uploads, and without them.
pub(super) async fn uploads(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let (service, class) = bench.upload_class();
    let base = bench.scenario(0.8);
    let current = bench.run("current", &base).await?;
    let without = bench.run("current, no uploads", &base.clone().omit("upload")).await?;
    let naive = bench.run_naive(&base).await?;
    let ratio = current.report.class_ms(class, 0.99) / without.report.class_ms(class, 0.99);
    let upload = format!("{service}/upload");
    let lost = current.report.class_count(&upload, Outcome::Refused)
        + current.report.class_count(&upload, Outcome::Failed)
        + current.checks.missing;
    let bounds = vec![
        over_slots(&current),
        Bound::at_most(Measure::HeadOfLine, format!("p99 of {class} by no uploads"), ratio, 1.1),
        Bound::none("uploads without answer", lost),
    ];
    bench.finish([Some(current), Some(without), naive].into_iter().flatten().collect(), bounds)
}

/// One member sends ten times its share.
pub(super) async fn flood(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let member = if bench.deployment.name() == "zadruga" { "members-north" } else { "agency-cais" };
    let base = bench.scenario(0.6);
    let flooded = base.clone().flood(member, 10.0);
    let current = bench.run("current", &flooded).await?;
    let calm = bench.run("current, no flood", &base).await?;
    let naive = bench.run_naive(&flooded).await?;
    let victims =
        current.report.short_ms_without(member, 0.99) / calm.report.short_ms_without(member, 0.99);
    let bounds = vec![
        over_slots(&current),
        Bound::at_least(Measure::Headroom, "Jain index by weight", jain(bench, &current)?, 0.98),
        Bound::at_most(Measure::Latency, "p99 of the others by no flood", victims, 1.2),
    ];
    bench.finish([Some(current), Some(calm), naive].into_iter().flatten().collect(), bounds)
}

/// No target may hold more requests than it has slots.
pub(super) fn over_slots(run: &RunResult) -> Bound {
    let over = f64::from(run.checks.over_slots);
    Bound::at_most(Measure::Headroom, format!("{}: requests above slots", run.label), over, 0.0)
}

/// The all-knowing queue's p99 of short work over a run's arrivals.
fn ideal_p99(bench: &Bench<'_>, run: &RunResult) -> Result<f64> {
    let snapshot = bench.deployment.snapshot(crate::Network::new(1))?;
    let workloads = workloads(bench.deployment.name());
    Ok(ideal_report(bench.deployment, workloads, &snapshot, &run.arrivals).short_ms(0.99))
}

/// Names of two targets of a service in the same region.
fn two_targets(bench: &Bench<'_>, service: &str) -> Result<Vec<String>> {
    let snapshot = bench.deployment.snapshot(crate::Network::new(1))?;
    let service = snapshot.service(&service.into()).ok_or("no such service")?;
    let names = service.settings.targets.keys().take(2).map(ToString::to_string);
    Ok(names.collect())
}

/// Service time of the answers that came in the middle of a run, by what all slots could do.
fn goodput(run: &RunResult) -> f64 {
    let length = run.arrivals.last().map_or(Duration::ZERO, |a| a.at);
    let first = length / 4;
    let done = run.arrivals.iter().zip(&run.ends).filter(|(arrival, end)| {
        end.as_ref().is_some_and(|end| {
            let at = arrival.at + end.latency;
            end.outcome == Outcome::Answered && first <= at && at < length
        })
    });
    let work: Duration = done.map(|(arrival, _)| arrival.work).sum();
    work.as_secs_f64() / (f64::from(run.slots) * (length - first).as_secs_f64())
}

/// Jain's index over what members got by what max-min fairness with weights would give them,
/// the lowest over the services.
fn jain(bench: &Bench<'_>, run: &RunResult) -> Result<f64> {
    let snapshot = bench.deployment.snapshot(crate::Network::new(1))?;
    let members = snapshot.fleet().map(|f| f.members.clone()).unwrap_or_default();
    let mut lowest = f64::INFINITY;
    for class in run.report.classes() {
        let (service, _) = class.split_once('/').unwrap_or_default();
        let short = workloads(bench.deployment.name()).iter();
        if !short.filter(|w| w.is_short()).any(|w| w.label() == class) {
            continue;
        }
        let got = run.report.work_by_member(&class);
        let mut demand: BTreeMap<&str, f64> = BTreeMap::new();
        for arrival in &run.arrivals {
            let workload = &workloads(bench.deployment.name())[arrival.workload];
            if workload.label() == class {
                *demand.entry(arrival.member.as_str()).or_default() += arrival.work.as_secs_f64();
            }
        }
        let total: f64 = got.values().map(Duration::as_secs_f64).sum();
        let weight = |m: &str| members.get(m).map_or(1.0, |s| f64::from(s.weight));
        let fair = max_min(&demand, weight, total);
        let parts = fair
            .iter()
            .filter(|(_, fair)| **fair > 0.0)
            .map(|(member, fair)| got.get(member).map_or(0.0, Duration::as_secs_f64) / fair);
        let parts: Vec<f64> = parts.collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|x| x * x).sum();
        let index = sum * sum / (parts.len() as f64 * squares);
        println!("  {service}: Jain index of {class} {index:.4}");
        lowest = lowest.min(index);
    }
    Ok(lowest)
}

/// Divides a total by weight, nobody above its demand.
fn max_min<'a>(
    demand: &BTreeMap<&'a str, f64>,
    weight: impl Fn(&str) -> f64,
    total: f64,
) -> BTreeMap<&'a str, f64> {
    let mut fair = BTreeMap::new();
    let mut open: Vec<&str> = demand.keys().copied().collect();
    let mut left = total;
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|m| weight(m)).sum();
        let level = left / weights;
        let (full, rest): (Vec<&str>, Vec<&str>) =
            open.iter().partition(|m| demand[**m] <= level * weight(m));
        if full.is_empty() {
            fair.extend(rest.iter().map(|m| (*m, level * weight(m))));
            break;
        }
        for member in full {
            fair.insert(member, demand[member]);
            left -= demand[member];
        }
        open = rest;
    }
    fair
}
