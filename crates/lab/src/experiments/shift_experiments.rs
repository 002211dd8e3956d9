//! Experiments on moves: shifts, cold regions, full links and drains.

use super::{Bound, ExperimentResult, Measure, catalogue::Bench, load_experiments::over_slots};
use crate::{Action, Outcome, RunResult, most_in_window};
use std::{error::Error, time::Duration};
use steer::TargetName;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Cap of the shift in requests a second.
const SHIFT_CAP: u32 = 60;
/// Share of the region's traffic that the shift moves.
const SHIFT_SHARE: f64 = 0.5;
/// Longest time from the first sign that a target leaves to its last new request.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Adds members to a settings document, before its last brace.
fn add_members(text: &str, members: &str) -> Result<String> {
    let end = text.rfind('}').ok_or("no object")?;
    Ok(format!("{},\n{members}\n}}\n", text[..end].trim_end()))
}

/// The first two regions by number, and the settings that shift traffic between them.
fn shift_settings(bench: &Bench<'_>) -> Result<(usize, usize, Action)> {
    let (service, _) = bench.main_class();
    let snapshot = bench.deployment.snapshot(crate::Network::new(1))?;
    let regions: Vec<String> = snapshot
        .fleet()
        .into_iter()
        .flat_map(|f| f.regions.keys())
        .map(ToString::to_string)
        .collect();
    let path = format!("teams/{service}");
    let shift = format!(
        r#"  "shifts": [{{ "cap": {SHIFT_CAP}, "from": "{}", "ramp_s": 4, "service": "{service}", "share": {SHIFT_SHARE}, "start": "{{NOW}}", "to": "{}" }}]"#,
        regions[1], regions[2]
    );
    let text = add_members(&bench.document(&path)?, &shift)?;
    Ok((1, 2, Action::PutSettings(path, text)))
}

/// Requests of a home region that targets of another region ran.
fn moved(
    bench: &Bench<'_>,
    run: &RunResult,
    from: usize,
    to: usize,
) -> Result<Vec<tokio::time::Instant>> {
    let (service, _) = bench.main_class();
    let snapshot = bench.deployment.snapshot(crate::Network::new(1))?;
    let service = snapshot.service(&service.into()).ok_or("no such service")?;
    let region = run.regions.get(to).map(|r| r.as_str().into());
    let there = |name: &TargetName| {
        let zone = service.settings.targets.get(name).map(|t| &t.zone);
        zone.is_some_and(|z| snapshot.region_of(z) == region.as_ref())
    };
    Ok(run.checks.starts(|name, record| record.home == from && there(name)))
}

fn shift_bounds(bench: &Bench<'_>, run: &RunResult, from: usize, to: usize) -> Result<Vec<Bound>> {
    let moved = moved(bench, run, from, to)?;
    let most = most_in_window(&moved, Duration::from_secs(1));
    Ok(vec![
        over_slots(run),
        Bound::at_most(
            Measure::Headroom,
            "most requests moved in any second",
            most as f64,
            f64::from(SHIFT_CAP),
        ),
        Bound::at_least(Measure::Headroom, "requests moved in all", moved.len() as f64, 100.0),
        Bound::none("requests failed", run.checks.failed + run.checks.missing),
    ])
}

/// Half of a region's traffic moves to another one along a ramp.
pub(super) async fn shift(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let (from, to, settings) = shift_settings(bench)?;
    let scenario = bench.scenario(0.6).at(3.0, settings);
    let current = bench.run("current", &scenario).await?;
    let naive = bench.run_naive(&bench.scenario(0.6)).await?;
    let bounds = shift_bounds(bench, &current, from, to)?;
    bench.finish([Some(current), naive].into_iter().flatten().collect(), bounds)
}

/// The same shift onto a region whose targets are cold.
pub(super) async fn cold_region(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let (from, to, settings) = shift_settings(bench)?;
    let warm = bench.scenario(0.6).at(3.0, settings.clone());
    let cold = bench.scenario(0.6).at(2.9, Action::CoolRegion(to)).at(3.0, settings);
    let current = bench.run("current, cold", &cold).await?;
    let warm = bench.run("current, warm", &warm).await?;
    let mut bounds = shift_bounds(bench, &current, from, to)?;
    let ratio = current.report.short_ms(0.99) / warm.report.short_ms(0.99);
    bounds.push(Bound::at_most(Measure::TailLatency, "p99 of short work by warm", ratio, 1.5));
    bench.finish(vec![current, warm], bounds)
}

/// Uploads that cross a link want more than its cap, since their region's targets are drained.
pub(super) async fn link_full(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let (service, class) = bench.upload_class();
    let snapshot = bench.deployment.snapshot(crate::Network::new(1))?;
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
    let text = add_members(&bench.document(&path)?, &member)?;
    let settings = Action::PutSettings(path, text);
    // The lines could carry twice the cap, so that only the entry VMs hold it.
    let base = bench.scenario(0.4).line_rate(2.0).body_factor(6).at(0.0, settings);
    let current = bench.run("current", &base).await?;
    let idle = bench.run("current, no uploads", &base.clone().omit("upload")).await?;
    let ratio = current.report.class_ms(class, 0.99) / idle.report.class_ms(class, 0.99);
    let bounds = vec![
        over_slots(&current),
        Bound::at_most(
            Measure::Headroom,
            "most bytes a second over a link by its cap",
            current.samples.most_link_rate() / cap,
            1.0,
        ),
        Bound::at_most(Measure::HeadOfLine, format!("p99 of {class} by idle link"), ratio, 1.2),
        Bound::none("requests failed", current.checks.failed + current.checks.missing),
    ];
    bench.finish(vec![current, idle], bounds)
}

/// One availability zone's targets leave by settings, and two others by their load report.
pub(super) async fn drain(bench: &Bench<'_>) -> Result<ExperimentResult> {
    let (service, _) = bench.main_class();
    let snapshot = bench.deployment.snapshot(crate::Network::new(1))?;
    let settings = &snapshot.service(&service.into()).ok_or("no such service")?.settings;
    let zone = bench.deployment.zones()[0];
    let of_zone = |name: &str| {
        let targets = settings.targets.iter().filter(|(_, t)| t.zone.as_str() == name);
        targets.map(|(name, _)| name.to_string()).collect::<Vec<_>>()
    };
    let (drained, leaving) = (of_zone(zone), of_zone(bench.deployment.zones()[2]));
    let member = format!(r#"  "drains": [{{ "zone": "{zone}" }}]"#);
    let text = add_members(&bench.document("fleet")?, &member)?;
    let scenario = bench
        .scenario(0.5)
        .at(4.0, Action::PutSettings("fleet".into(), text))
        .at(6.0, Action::LeaveTargets(leaving.clone()));
    let current = bench.run("current", &scenario).await?;
    let last_start = |names: &[String]| {
        let starts = current.checks.starts(|name, _| names.iter().any(|n| n == name.as_str()));
        starts.last().map_or(0.0, |at| (*at - current.start).as_secs_f64())
    };
    let after = |event: usize, seconds: f64| {
        let at = current.events.get(event).map_or(f64::NAN, |(at, _)| at.as_secs_f64());
        seconds - at
    };
    let idle = current.samples.idle_since(&drained).map_or(f64::NAN, |d| d.as_secs_f64());
    let limit = LEAVE_LIMIT.as_secs_f64();
    let refused = current.report.count(Outcome::Refused);
    let bounds = vec![
        over_slots(&current),
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
    bench.finish(vec![current], bounds)
}
