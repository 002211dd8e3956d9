//! Runs a scenario on a fleet with callers, and collects the results.

use crate::{
    Arrival, Callers, Checks, Deployment, Fleet, LookupCache, NaiveBalancer, Network, Policy,
    RequestOutcome, RequestResult, RunReport, Samples, Scenario, ScheduledAction, make_arrivals,
    workloads,
};
use adapters::ConnectionPool;
use std::{
    collections::BTreeMap,
    error::Error,
    io::{IsTerminal, Write},
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use steer::{Clock, SettingsPath, SystemClock, TargetName};
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep, sleep_until, timeout},
};

/// Maximum time for a fleet to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time for the remaining requests to end after the last request and action started.
const END_TIMEOUT: Duration = Duration::from_secs(40);

/// Results of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The requests that were sent.
    pub arrivals: Vec<Arrival>,
    /// Counts of invariant violations.
    pub checks: Checks,
    /// Directory of the logs and traces.
    pub directory: PathBuf,
    /// How the requests ended, by request number; `None` for a request that did not end in time.
    pub results: Vec<Option<RequestResult>>,
    /// Times at which the actions started, with a description of each.
    pub events: Vec<(Duration, String)>,
    /// Label of the run in tables.
    pub label: String,
    /// Calls to the platform, by kind.
    pub platform_calls: BTreeMap<&'static str, u64>,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Latencies and outcomes.
    pub report: RunReport,
    /// Samples of the load over time.
    pub samples: Samples,
    /// Total slots of all targets.
    pub slots: u32,
    /// Start time of the run.
    pub start: Instant,
}

/// Results that the tasks of a run share.
#[derive(Debug)]
struct SharedResults {
    results: Mutex<Vec<Option<RequestResult>>>,
    report: Mutex<RunReport>,
}

impl SharedResults {
    fn report(&self) -> MutexGuard<'_, RunReport> {
        self.report.lock().expect("no holder of the report panics")
    }
}

/// Starts a fleet and runs a scenario on it.
///
/// # Errors
///
/// If the fleet can't be started or an action fails.
pub async fn run_scenario(
    deployment: Deployment,
    scenario: &Scenario,
    label: &str,
) -> Result<RunResult, Box<dyn Error>> {
    let entry_vms = scenario.policy == Policy::Current;
    let mut fleet = Fleet::start(deployment, entry_vms, scenario.capacity_factor).await?;
    let mut background = JoinSet::new();
    let callers = Arc::new(make_callers(deployment, &fleet, scenario, &mut background));
    if entry_vms {
        wait_until_serving(&fleet, &callers).await?;
    } else {
        sleep(Duration::from_secs(1)).await;
    }
    let arrivals = make_arrivals(&callers.workloads, &fleet.snapshot, scenario);
    let shared = Arc::new(SharedResults {
        results: Mutex::new(vec![None; arrivals.len()]),
        report: Mutex::default(),
    });
    let start = Instant::now();
    let samples = Samples::start(&fleet, start, &mut background);
    background.spawn(show_progress(Arc::clone(&shared), label.to_owned(), start));
    let mut requests = JoinSet::new();
    let sender = send_requests(&arrivals, &callers, &shared, start, &mut requests);
    let (events, ()) = tokio::join!(run_actions(&mut fleet, scenario, start), sender);
    let ended = async { while requests.join_next().await.is_some() {} };
    // After a timeout, the requests that are still running count as missing.
    let _in_time = timeout(END_TIMEOUT, ended).await;
    fleet.finish_stops().await;
    background.shutdown().await;
    println!();
    let results =
        std::mem::take(&mut *shared.results.lock().expect("no holder of the results panics"));
    let report = std::mem::take(&mut *shared.report());
    let workloads = &callers.workloads;
    Ok(RunResult {
        checks: Checks::new(&fleet, &arrivals, &results, workloads),
        arrivals,
        directory: fleet.directory.clone(),
        results,
        events: events?,
        label: label.to_owned(),
        platform_calls: fleet.platform.calls(),
        regions: fleet.regions(),
        report,
        samples: samples.take(),
        slots: fleet.slots(None),
        start,
    })
}

fn make_callers(
    deployment: Deployment,
    fleet: &Fleet,
    scenario: &Scenario,
    background: &mut JoinSet<()>,
) -> Callers {
    let pool = ConnectionPool::new();
    let vms = deployment.entry_vms();
    let bootstrap =
        vms.iter().map(|(vm, _)| fleet.network.entry(*vm, Network::CALLERS_PORT)).collect();
    let naive = (scenario.policy == Policy::Naive)
        .then(|| NaiveBalancer::start(deployment, &fleet.snapshot, background));
    let mut workloads = workloads(deployment.name()).to_vec();
    for workload in &mut workloads {
        if workload.class == "upload" {
            workload.body *= scenario.body_factor;
        }
    }
    Callers {
        delay: Duration::from_secs_f64(deployment.client_delay() / 1e3),
        domain: deployment.name(),
        lookups: LookupCache::new(bootstrap, &fleet.snapshot, Arc::clone(&pool)),
        naive,
        pool,
        prefix: format!("{}-{}", scenario.seed, fleet.network.run()),
        max_retries: scenario.max_retries,
        workloads,
    }
}

/// Waits until the lookup response of each entry VM lists all entry VMs.
async fn wait_until_serving(fleet: &Fleet, callers: &Callers) -> Result<(), Box<dyn Error>> {
    let all_ready = async {
        for vm in fleet.entry_vms.keys() {
            let address = fleet.network.entry(*vm, Network::CALLERS_PORT);
            let complete = |list: Option<(Duration, Vec<_>)>| {
                list.is_some_and(|(_, list)| list.len() == fleet.entry_vms.len())
            };
            while !complete(callers.lookups.lookup(address, 0, 0).await) {
                sleep(Duration::from_millis(50)).await;
            }
        }
    };
    timeout(START_TIMEOUT, all_ready)
        .await
        .map_err(|_| "the entry VMs did not start serving in time".into())
}

/// Starts a task for each request at its arrival time.
async fn send_requests(
    arrivals: &[Arrival],
    callers: &Arc<Callers>,
    shared: &Arc<SharedResults>,
    start: Instant,
    requests: &mut JoinSet<()>,
) {
    for arrival in arrivals {
        sleep_until(start + arrival.at).await;
        let (callers, shared, arrival) = (Arc::clone(callers), Arc::clone(shared), arrival.clone());
        requests.spawn(async move {
            let result = callers.run(&arrival).await;
            let workload = &callers.workloads[arrival.workload];
            shared.report().record(&arrival, workload, result.outcome, result.latency);
            let mut results = shared.results.lock().expect("no holder of the results panics");
            results[arrival.id as usize] = Some(result);
        });
    }
}

/// Runs the actions of the scenario at their times.
async fn run_actions(
    fleet: &mut Fleet,
    scenario: &Scenario,
    start: Instant,
) -> Result<Vec<(Duration, String)>, Box<dyn Error>> {
    let mut events = Vec::new();
    for (at, action) in &scenario.actions {
        sleep_until(start + *at).await;
        events.push((start.elapsed(), format!("{action:?}").chars().take(60).collect()));
        run_action(fleet, action).await?;
    }
    Ok(events)
}

async fn run_action(fleet: &mut Fleet, action: &ScheduledAction) -> Result<(), Box<dyn Error>> {
    match action {
        ScheduledAction::CoolRegion(region) => {
            let name = fleet.regions().get(*region).map(|r| r.as_str().into());
            change_targets(
                fleet,
                |fleet, target| {
                    let settings =
                        fleet.snapshot.services().find_map(|s| s.settings.targets.get(target));
                    settings.is_some_and(|t| fleet.snapshot.region_of(&t.zone) == name.as_ref())
                },
                |controls| controls.cold(40),
            );
        }
        ScheduledAction::CutRegion(region, cut) => fleet.cut_region(*region, *cut),
        ScheduledAction::CutZone(zone, cut) => fleet.cut_zone(*zone, *cut),
        ScheduledAction::KillEntry(vm) => fleet.signal(*vm, "KILL").await?,
        ScheduledAction::LeaveTargets(names) => {
            let listed =
                |_: &Fleet, target: &TargetName| names.iter().any(|n| n == target.as_str());
            change_targets(fleet, listed, |controls| controls.leaving(true));
        }
        ScheduledAction::PauseEntry(vm, true) => fleet.signal(*vm, "STOP").await?,
        ScheduledAction::PauseEntry(vm, false) => fleet.signal(*vm, "CONT").await?,
        ScheduledAction::PlatformDown(down) => fleet.cut_platform(*down),
        ScheduledAction::PlatformFails(faults) => fleet.platform.set_faults(*faults),
        ScheduledAction::PutSettings(path, text) => {
            let path = SettingsPath::parse(path).ok_or("invalid settings path")?;
            let text = text.replace("{NOW}", &SystemClock.now().to_string());
            fleet.platform.put(&path.to_platform(), &fleet.network.translate(&text), "operator");
        }
        ScheduledAction::SlowTargets(names, factor) => {
            let listed =
                |_: &Fleet, target: &TargetName| names.iter().any(|n| n == target.as_str());
            change_targets(fleet, listed, |controls| controls.slowdown(*factor));
        }
        ScheduledAction::StartEntry(vm) => {
            // The old process holds the address until it exits.
            fleet.finish_stop(*vm).await;
            fleet.start_entry_vm(*vm)?;
        }
        ScheduledAction::StopEntry(vm) => fleet.stop_entry_vm(*vm).await?,
    }
    Ok(())
}

fn change_targets(
    fleet: &Fleet,
    filter: impl Fn(&Fleet, &TargetName) -> bool,
    change: impl Fn(crate::TargetControls) -> crate::TargetControls,
) {
    for (name, target) in &fleet.targets {
        if filter(fleet, name) {
            target.set_controls(change(target.controls()));
        }
    }
}

/// Prints a progress line each second, which overwrites the previous one on a terminal.
async fn show_progress(shared: Arc<SharedResults>, label: String, start: Instant) {
    let mut ticks = interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        let report = shared.report();
        let [answered, refused, failed] =
            [RequestOutcome::Answered, RequestOutcome::Refused, RequestOutcome::Failed]
                .map(|o| report.count(o));
        drop(report);
        let seconds = start.elapsed().as_secs();
        let mut out = std::io::stdout();
        let end = if out.is_terminal() { "\r" } else { "\n" };
        // A write error, for example from a closed terminal, must not end the run.
        let _written = write!(
            out,
            "{label:<24} {seconds:>3} s  answered {answered:>7}  refused {refused:>6}  failed {failed:>5}{end}"
        )
        .and_then(|()| out.flush());
    }
}
