//! Experiments on load: steady load, surge, slow targets, uploads and a flood.

use super::{Bound, ExperimentResult, Measure, catalogue::ExperimentContext};
use crate::{RequestOutcome, RunResult, ScheduledAction, simulate_central_queue, workloads};
use std::{collections::BTreeMap, error::Error, time::Duration};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Ratio of the naive policy's p99 to the ideal p99 above which requests queue under the naive
/// policy.
const QUEUEING_RATIO: f64 = 1.5;

/// Runs steady load at 50, 80 and 95% of the slots.
pub(super) async fn steady(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context.scenario(0.8);
    let middle = context.run("current 80%", &scenario).await?;
    let naive = context.run_naive(&scenario).await?;
    let low = context.run("current 50%", &context.scenario(0.5)).await?;
    let high = context.run("current 95%", &context.scenario(0.95)).await?;
    let ideal = ideal_p99(context, &middle)?;
    let p99 = middle.report.interactive_ms(0.99);
    let refused =
        middle.report.count(RequestOutcome::Refused) + middle.report.count(RequestOutcome::Failed);
    let mut bounds = vec![
        slot_bound(&middle),
        Bound::none("80%: requests refused or failed", refused),
        Bound::at_most(Measure::Latency, "80%: p99 of short work by ideal", p99 / ideal, 1.3),
    ];
    if let Some(naive) = &naive {
        let naive_p99 = naive.report.interactive_ms(0.99);
        if naive_p99 > QUEUEING_RATIO * ideal {
            let text = "80%: p99 of short work by naive, which queues";
            bounds.push(Bound::at_most(Measure::Latency, text, p99 / naive_p99, 0.5));
        }
    }
    let runs = [Some(middle), naive, Some(low), Some(high)].into_iter().flatten().collect();
    context.finish(runs, bounds)
}

/// Runs a load of twice the capacity of all slots.
pub(super) async fn surge(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let scenario = context.scenario(2.0);
    let current = context.run("current 200%", &scenario).await?;
    let naive = context.run_naive(&scenario).await?;
    let path = 2.0 * context.deployment.client_delay();
    let bounds = vec![
        slot_bound(&current),
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
    context.finish([Some(current), naive].into_iter().flatten().collect(), bounds)
}

/// Slows down two of the main service's 12 targets, or 16 in `zadruga`, tenfold. Load reports are
/// delayed, as in all runs.
pub(super) async fn slow_targets(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let (service, class) = context.main_class();
    let base = context.scenario(0.5);
    let slowed = base
        .clone()
        .at(2.0, ScheduledAction::SlowTargets(first_two_targets(context, service)?, 10.0));
    let current = context.run("current", &slowed).await?;
    let healthy = context.run("current, none slowed", &base).await?;
    let naive = context.run_naive(&slowed).await?;
    let ratio = current.report.class_ms(class, 0.99) / healthy.report.class_ms(class, 0.99);
    let all = current.report.interactive_ms(0.99) / healthy.report.interactive_ms(0.99);
    let bounds = vec![
        slot_bound(&current),
        Bound::at_most(Measure::TailLatency, format!("p99 of {class} by none slowed"), ratio, 1.5),
        Bound::at_most(Measure::TailLatency, "p99 of short work by none slowed", all, 1.5),
    ];
    context.finish([Some(current), Some(healthy), naive].into_iter().flatten().collect(), bounds)
}

/// Compares short reads with and without concurrent uploads.
pub(super) async fn uploads(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let (service, class) = context.upload_class();
    let base = context.scenario(0.8);
    let current = context.run("current", &base).await?;
    let without = context.run("current, no uploads", &base.clone().omit("upload")).await?;
    let naive = context.run_naive(&base).await?;
    let ratio = current.report.class_ms(class, 0.99) / without.report.class_ms(class, 0.99);
    let upload = format!("{service}/upload");
    let lost = current.report.class_count(&upload, RequestOutcome::Refused)
        + current.report.class_count(&upload, RequestOutcome::Failed)
        + current.checks.missing;
    let bounds = vec![
        slot_bound(&current),
        Bound::at_most(Measure::HeadOfLine, format!("p99 of {class} by no uploads"), ratio, 1.1),
        Bound::none("uploads without answer", lost),
    ];
    context.finish([Some(current), Some(without), naive].into_iter().flatten().collect(), bounds)
}

/// Makes one member send ten times its share of the traffic.
pub(super) async fn flood(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let member =
        if context.deployment.name() == "zadruga" { "members-north" } else { "agency-cais" };
    let base = context.scenario(0.6);
    let flooded = base.clone().flood(member, 10.0);
    let current = context.run("current", &flooded).await?;
    let calm = context.run("current, no flood", &base).await?;
    let naive = context.run_naive(&flooded).await?;
    let victims = current.report.interactive_ms_without(member, 0.99)
        / calm.report.interactive_ms_without(member, 0.99);
    let bounds = vec![
        slot_bound(&current),
        Bound::at_least(Measure::Headroom, "Jain index by weight", jain(context, &current)?, 0.98),
        Bound::at_most(Measure::Latency, "p99 of the others by no flood", victims, 1.2),
    ];
    context.finish([Some(current), Some(calm), naive].into_iter().flatten().collect(), bounds)
}

/// Returns the bound that no target has more requests than slots.
pub(super) fn slot_bound(run: &RunResult) -> Bound {
    let over = f64::from(run.checks.over_slots);
    Bound::at_most(Measure::Headroom, format!("{}: requests above slots", run.label), over, 0.0)
}

/// Returns the p99 latency of interactive requests under the ideal load balancer, for the arrivals
/// of a run.
fn ideal_p99(context: &ExperimentContext<'_>, run: &RunResult) -> Result<f64> {
    let snapshot = context.deployment.snapshot(crate::Network::new(1))?;
    let workloads = workloads(context.deployment.name());
    Ok(simulate_central_queue(context.deployment, workloads, &snapshot, &run.arrivals)
        .interactive_ms(0.99))
}

/// Returns the names of the first two targets of a service, which are in the same region.
fn first_two_targets(context: &ExperimentContext<'_>, service: &str) -> Result<Vec<String>> {
    let snapshot = context.deployment.snapshot(crate::Network::new(1))?;
    let service = snapshot.service(&service.into()).ok_or("no such service")?;
    let names = service.settings.targets.keys().take(2).map(ToString::to_string);
    Ok(names.collect())
}

/// Returns the service time completed after the first quarter of a run, divided by the capacity of
/// all slots. Responses after the last arrival aren't counted.
fn goodput(run: &RunResult) -> f64 {
    let length = run.arrivals.last().map_or(Duration::ZERO, |a| a.at);
    let first = length / 4;
    let completed = run.arrivals.iter().zip(&run.results).filter(|(arrival, result)| {
        result.as_ref().is_some_and(|result| {
            let at = arrival.at + result.latency;
            result.outcome == RequestOutcome::Answered && first <= at && at < length
        })
    });
    let work: Duration = completed.map(|(arrival, _)| arrival.work).sum();
    work.as_secs_f64() / (f64::from(run.slots) * (length - first).as_secs_f64())
}

/// Returns the lowest of Jain's fairness indices of the interactive classes. The index of a class
/// compares the service time that each member got with its weighted max-min fair share.
fn jain(context: &ExperimentContext<'_>, run: &RunResult) -> Result<f64> {
    let snapshot = context.deployment.snapshot(crate::Network::new(1))?;
    let members = snapshot.fleet().map(|f| f.members.clone()).unwrap_or_default();
    let mut lowest = f64::INFINITY;
    for class in run.report.classes() {
        let (service, _) = class.split_once('/').unwrap_or_default();
        let all = workloads(context.deployment.name()).iter();
        if !all.filter(|w| w.is_interactive()).any(|w| w.label() == class) {
            continue;
        }
        let got = run.report.work_by_member(&class);
        let mut demand: BTreeMap<&str, f64> = BTreeMap::new();
        for arrival in &run.arrivals {
            let workload = &workloads(context.deployment.name())[arrival.workload];
            if workload.label() == class {
                *demand.entry(arrival.member.as_str()).or_default() += arrival.work.as_secs_f64();
            }
        }
        let total: f64 = got.values().map(Duration::as_secs_f64).sum();
        let weight = |m: &str| members.get(m).map_or(1.0, |s| f64::from(s.weight));
        let shares = max_min_shares(&demand, weight, total);
        let ratios = shares.iter().filter(|(_, fair_share)| **fair_share > 0.0).map(
            |(member, fair_share)| got.get(member).map_or(0.0, Duration::as_secs_f64) / fair_share,
        );
        let ratios: Vec<f64> = ratios.collect();
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|x| x * x).sum();
        let index = sum * sum / (ratios.len() as f64 * squares);
        println!("  {service}: Jain index of {class} {index:.4}");
        lowest = lowest.min(index);
    }
    Ok(lowest)
}

/// Computes weighted max-min fair shares of a total, each at most the member's demand.
fn max_min_shares<'a>(
    demand: &BTreeMap<&'a str, f64>,
    weight: impl Fn(&str) -> f64,
    total: f64,
) -> BTreeMap<&'a str, f64> {
    let mut shares = BTreeMap::new();
    let mut open: Vec<&str> = demand.keys().copied().collect();
    let mut remaining = total;
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|m| weight(m)).sum();
        let level = remaining / weights;
        let (full, rest): (Vec<&str>, Vec<&str>) =
            open.iter().partition(|m| demand[**m] <= level * weight(m));
        if full.is_empty() {
            shares.extend(rest.iter().map(|m| (*m, level * weight(m))));
            break;
        }
        for member in full {
            shares.insert(member, demand[member]);
            remaining -= demand[member];
        }
        open = rest;
    }
    shares
}
