//! Experiments on moved traffic: shifts, cold regions, full links and drains.

use super::{
    Bound, ExperimentResult, Measure, catalogue::ExperimentContext, load_experiments::slot_bound,
};
use crate::{RequestOutcome, RunResult, ScheduledAction, max_in_window};
use std::{error::Error, time::Duration};
use steer::TargetName;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Cap of the shift in requests per second.
const SHIFT_CAP_PER_S: u32 = 60;
/// Share of the region's traffic that the shift moves.
const SHIFT_SHARE: f64 = 0.5;
/// Maximum time from the announcement that a target leaves to its last new request.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(3);

/// Inserts JSON members before the closing brace of a settings document.
fn add_members(text: &str, members: &str) -> Result<String> {
    let end = text.rfind('}').ok_or("no object")?;
    Ok(format!("{},\n{members}\n}}\n", text[..end].trim_end()))
}

/// Returns the indices of two regions, and the settings that shift traffic from the first to the
/// second.
fn shift_settings(context: &ExperimentContext<'_>) -> Result<(usize, usize, ScheduledAction)> {
    let (service, _) = context.main_class();
    let snapshot = context.deployment.snapshot(crate::Network::new(1))?;
    let regions: Vec<String> = snapshot
        .fleet()
        .into_iter()
        .flat_map(|f| f.regions.keys())
        .map(ToString::to_string)
        .collect();
    let path = format!("teams/{service}");
    let shift = format!(
        r#"  "shifts": [{{ "cap": {SHIFT_CAP_PER_S}, "from": "{}", "ramp_s": 4, "service": "{service}", "share": {SHIFT_SHARE}, "start": "{{NOW}}", "to": "{}" }}]"#,
        regions[1], regions[2]
    );
    let text = add_members(&context.document(&path)?, &shift)?;
    Ok((1, 2, ScheduledAction::PutSettings(path, text)))
}

/// Returns the start times of the requests from one home region that targets in another region ran.
fn moved_starts(
    context: &ExperimentContext<'_>,
    run: &RunResult,
    from: usize,
    to: usize,
) -> Result<Vec<tokio::time::Instant>> {
    let (service, _) = context.main_class();
    let snapshot = context.deployment.snapshot(crate::Network::new(1))?;
    let service = snapshot.service(&service.into()).ok_or("no such service")?;
    let region = run.regions.get(to).map(|r| r.as_str().into());
    let is_in_region = |name: &TargetName| {
        let zone = service.settings.targets.get(name).map(|t| &t.zone);
        zone.is_some_and(|z| snapshot.region_of(z) == region.as_ref())
    };
    Ok(run.checks.starts(|name, record| record.home == from && is_in_region(name)))
}

fn shift_bounds(
    context: &ExperimentContext<'_>,
    run: &RunResult,
    from: usize,
    to: usize,
) -> Result<Vec<Bound>> {
    let moved_starts = moved_starts(context, run, from, to)?;
    let peak = max_in_window(&moved_starts, Duration::from_secs(1));
    Ok(vec![
        slot_bound(run),
        Bound::at_most(
            Measure::Headroom,
            "most requests moved in any second",
            peak as f64,
            f64::from(SHIFT_CAP_PER_S),
        ),
        Bound::at_least(
            Measure::Headroom,
            "requests moved in all",
            moved_starts.len() as f64,
            100.0,
        ),
        Bound::none("requests failed", run.checks.failed + run.checks.missing),
    ])
}

/// Shifts half of a region's traffic to another region along a ramp.
pub(super) async fn shift(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let (from, to, settings) = shift_settings(context)?;
    let scenario = context.scenario(0.6).at(3.0, settings);
    let current = context.run("current", &scenario).await?;
    let naive = context.run_naive(&context.scenario(0.6)).await?;
    let bounds = shift_bounds(context, &current, from, to)?;
    context.finish([Some(current), naive].into_iter().flatten().collect(), bounds)
}

/// Shifts the same traffic to a region whose targets are cold.
pub(super) async fn cold_region(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let (from, to, settings) = shift_settings(context)?;
    let warm = context.scenario(0.6).at(3.0, settings.clone());
    let cold = context.scenario(0.6).at(2.9, ScheduledAction::CoolRegion(to)).at(3.0, settings);
    let current = context.run("current, cold", &cold).await?;
    let warm = context.run("current, warm", &warm).await?;
    let mut bounds = shift_bounds(context, &current, from, to)?;
    let ratio = current.report.interactive_ms(0.99) / warm.report.interactive_ms(0.99);
    bounds.push(Bound::at_most(Measure::TailLatency, "p99 of short work by warm", ratio, 1.5));
    context.finish(vec![current, warm], bounds)
}

/// Drains the targets of a region, so that its uploads cross a link and exceed the link's cap.
pub(super) async fn link_full(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let (service, class) = context.upload_class();
    let snapshot = context.deployment.snapshot(crate::Network::new(1))?;
    let fleet = snapshot.fleet().ok_or("no fleet")?;
    let cap = fleet.links.first().ok_or("no links")?.cap_bytes() as f64;
    let (drained, _) = fleet.regions.iter().nth(1).ok_or("no second region")?;
    let path = format!("teams/{service}");
    let targets = &snapshot.service(&service.into()).ok_or("no such service")?.settings.targets;
    let drains: Vec<String> = targets
        .iter()
        .filter(|(_, t)| snapshot.region_of(&t.zone) == Some(drained))
        .map(|(name, _)| format!(r#"{{ "target": "{name}" }}"#))
        .collect();
    let member = format!(r#"  "drains": [{}]"#, drains.join(", "));
    let text = add_members(&context.document(&path)?, &member)?;
    let settings = ScheduledAction::PutSettings(path, text);
    // The stand-ins for links carry twice the cap, so that only the entry VMs enforce the cap.
    let base = context.scenario(0.4).capacity_factor(2.0).body_factor(6).at(0.0, settings);
    let current = context.run("current", &base).await?;
    let idle = context.run("current, no uploads", &base.clone().omit("upload")).await?;
    let ratio = current.report.class_ms(class, 0.99) / idle.report.class_ms(class, 0.99);
    let bounds = vec![
        slot_bound(&current),
        Bound::at_most(
            Measure::Headroom,
            "most bytes a second over a link by its cap",
            current.samples.max_link_rate() / cap,
            1.0,
        ),
        Bound::at_most(Measure::HeadOfLine, format!("p99 of {class} by idle link"), ratio, 1.2),
        Bound::none("requests failed", current.checks.failed + current.checks.missing),
    ];
    context.finish(vec![current, idle], bounds)
}

/// Drains the targets of one availability zone by settings, and two others through their load
/// reports.
pub(super) async fn drain(context: &ExperimentContext<'_>) -> Result<ExperimentResult> {
    let (service, _) = context.main_class();
    let snapshot = context.deployment.snapshot(crate::Network::new(1))?;
    let settings = &snapshot.service(&service.into()).ok_or("no such service")?.settings;
    let zone = context.deployment.zones()[0];
    let zone_targets = |name: &str| {
        let targets = settings.targets.iter().filter(|(_, t)| t.zone.as_str() == name);
        targets.map(|(name, _)| name.to_string()).collect::<Vec<_>>()
    };
    let (drained, leaving) = (zone_targets(zone), zone_targets(context.deployment.zones()[2]));
    let member = format!(r#"  "drains": [{{ "zone": "{zone}" }}]"#);
    let text = add_members(&context.document("fleet")?, &member)?;
    let scenario = context
        .scenario(0.5)
        .at(4.0, ScheduledAction::PutSettings("fleet".into(), text))
        .at(6.0, ScheduledAction::LeaveTargets(leaving.clone()));
    let current = context.run("current", &scenario).await?;
    let last_start = |names: &[String]| {
        let starts = current.checks.starts(|name, _| names.iter().any(|n| n == name.as_str()));
        starts.last().map_or(0.0, |at| (*at - current.start).as_secs_f64())
    };
    let after = |event: usize, seconds: f64| {
        let at = current.events.get(event).map_or(f64::NAN, |(at, _)| at.as_secs_f64());
        seconds - at
    };
    let idle = current.samples.idle_since(&drained).map_or(f64::NAN, |d| d.as_secs_f64());
    let limit = MAX_LEAVE_TIME.as_secs_f64();
    let refused = current.report.count(RequestOutcome::Refused);
    let bounds = vec![
        slot_bound(&current),
        Bound::at_most(
            Measure::DrainTime,
            "last new work after the drain by settings, s",
            after(0, last_start(&drained)),
            limit,
        ),
        Bound::at_most(
            Measure::DrainTime,
            "last new work after the target said it leaves, s",
            after(1, last_start(&leaving)),
            limit,
        ),
        Bound::at_most(Measure::DrainTime, "targets idle after the drain, s", after(0, idle), 10.0),
        Bound::none(
            "requests failed or refused",
            current.checks.failed + current.checks.missing + refused,
        ),
    ];
    context.finish(vec![current], bounds)
}
