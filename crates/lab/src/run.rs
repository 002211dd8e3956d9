//! One run of a scenario: a fleet, its callers, and what both saw.

use crate::{
    Action, Arrival, Callers, Checks, Deployment, Fleet, LookupCache, NaiveFront, Network, Outcome,
    Policy, Report, RequestEnd, Samples, Scenario, make_arrivals, workloads,
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

/// Longest time to start a fleet.
const START_WAIT: Duration = Duration::from_secs(20);
/// Longest time after the last arrival until all requests have ended.
const END_WAIT: Duration = Duration::from_secs(40);

/// What a run showed.
#[derive(Debug)]
pub struct RunResult {
    /// The requests that were sent.
    pub arrivals: Vec<Arrival>,
    /// What the stand-ins and callers found wrong.
    pub checks: Checks,
    /// Where logs and traces are.
    pub directory: PathBuf,
    /// How the requests ended, by number; `None` where one had not ended in time.
    pub ends: Vec<Option<RequestEnd>>,
    /// Times at which the actions happened.
    pub events: Vec<(Duration, String)>,
    /// Name of the run in tables.
    pub label: String,
    /// Calls to the platform, by kind.
    pub platform_calls: BTreeMap<&'static str, u64>,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Latencies and outcomes.
    pub report: Report,
    /// What was sampled over time.
    pub samples: Samples,
    /// Slots of all targets.
    pub slots: u32,
    /// Start of the run.
    pub start: Instant,
}

/// What the tasks of a run share.
#[derive(Debug)]
struct Board {
    ends: Mutex<Vec<Option<RequestEnd>>>,
    report: Mutex<Report>,
}

impl Board {
    fn report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().expect("no holder of the report panics")
    }
}

/// Runs a scenario on a fleet of its own.
///
/// # Errors
///
/// Where the fleet can't be started or an action fails.
pub async fn run_scenario(
    deployment: Deployment,
    scenario: &Scenario,
    label: &str,
) -> Result<RunResult, Box<dyn Error>> {
    let entry_vms = scenario.policy == Policy::Current;
    let mut fleet = Fleet::start(deployment, entry_vms, scenario.line_rate).await?;
    let mut background = JoinSet::new();
    let callers = Arc::new(make_callers(deployment, &fleet, scenario, &mut background));
    if entry_vms {
        wait_until_served(&fleet, &callers).await?;
    } else {
        sleep(Duration::from_secs(1)).await;
    }
    let arrivals = make_arrivals(&callers.workloads, &fleet.snapshot, scenario);
    let board =
        Arc::new(Board { ends: Mutex::new(vec![None; arrivals.len()]), report: Mutex::default() });
    let start = Instant::now();
    let samples = Samples::start(&fleet, start, &mut background);
    background.spawn(show_progress(Arc::clone(&board), label.to_owned(), start));
    let mut requests = JoinSet::new();
    let sender = send_all(&arrivals, &callers, &board, start, &mut requests);
    let (events, ()) = tokio::join!(act_all(&mut fleet, scenario, start), sender);
    let ended = async { while requests.join_next().await.is_some() {} };
    // What has not ended by then shows as missing in the ends.
    let _in_time = timeout(END_WAIT, ended).await;
    fleet.finish_stops().await;
    background.shutdown().await;
    println!();
    let ends = std::mem::take(&mut *board.ends.lock().expect("no holder of the ends panics"));
    let report = std::mem::take(&mut *board.report());
    let workloads = &callers.workloads;
    Ok(RunResult {
        checks: Checks::new(&fleet, &arrivals, &ends, workloads),
        arrivals,
        directory: fleet.directory.clone(),
        ends,
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
    let bootstrap = vms.iter().map(|(vm, _)| fleet.network.entry(*vm, Network::CALLERS)).collect();
    let naive = (scenario.policy == Policy::Naive)
        .then(|| NaiveFront::start(deployment, &fleet.snapshot, background));
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
        repeats: scenario.repeats,
        workloads,
    }
}

/// Waits until each entry VM names all entry VMs.
async fn wait_until_served(fleet: &Fleet, callers: &Callers) -> Result<(), Box<dyn Error>> {
    let all = async {
        for vm in fleet.entry_vms.keys() {
            let address = fleet.network.entry(*vm, Network::CALLERS);
            let complete = |list: Option<(Duration, Vec<_>)>| {
                list.is_some_and(|(_, list)| list.len() == fleet.entry_vms.len())
            };
            while !complete(callers.lookups.ask(address, 0, 0).await) {
                sleep(Duration::from_millis(50)).await;
            }
        }
    };
    timeout(START_WAIT, all).await.map_err(|_| "the entry VMs don't serve in time".into())
}

/// Sends each request at its time, a task each.
async fn send_all(
    arrivals: &[Arrival],
    callers: &Arc<Callers>,
    board: &Arc<Board>,
    start: Instant,
    requests: &mut JoinSet<()>,
) {
    for arrival in arrivals {
        sleep_until(start + arrival.at).await;
        let (callers, board, arrival) = (Arc::clone(callers), Arc::clone(board), arrival.clone());
        requests.spawn(async move {
            let end = callers.run(&arrival).await;
            let workload = &callers.workloads[arrival.workload];
            board.report().note(&arrival, workload, end.outcome, end.latency);
            let mut ends = board.ends.lock().expect("no holder of the ends panics");
            ends[arrival.id as usize] = Some(end);
        });
    }
}

/// Does what the scenario says, each at its time.
async fn act_all(
    fleet: &mut Fleet,
    scenario: &Scenario,
    start: Instant,
) -> Result<Vec<(Duration, String)>, Box<dyn Error>> {
    let mut events = Vec::new();
    for (at, action) in &scenario.actions {
        sleep_until(start + *at).await;
        events.push((start.elapsed(), format!("{action:?}").chars().take(60).collect()));
        act(fleet, action).await?;
    }
    Ok(events)
}

async fn act(fleet: &mut Fleet, action: &Action) -> Result<(), Box<dyn Error>> {
    match action {
        Action::CoolRegion(region) => {
            let name = fleet.regions().get(*region).map(|r| r.as_str().into());
            change_targets(
                fleet,
                |fleet, target| {
                    let place =
                        fleet.snapshot.services().find_map(|s| s.settings.targets.get(target));
                    place.is_some_and(|t| fleet.snapshot.region_of(&t.zone) == name.as_ref())
                },
                |controls| controls.cold(40),
            );
        }
        Action::CutRegion(region, cut) => fleet.cut_region(*region, *cut),
        Action::CutZone(zone, cut) => fleet.cut_zone(*zone, *cut),
        Action::KillEntry(vm) => fleet.signal(*vm, "KILL").await?,
        Action::LeaveTargets(names) => {
            let listed =
                |_: &Fleet, target: &TargetName| names.iter().any(|n| n == target.as_str());
            change_targets(fleet, listed, |controls| controls.leaving(true));
        }
        Action::PauseEntry(vm, true) => fleet.signal(*vm, "STOP").await?,
        Action::PauseEntry(vm, false) => fleet.signal(*vm, "CONT").await?,
        Action::PlatformDown(down) => fleet.cut_platform(*down),
        Action::PlatformFails(faults) => fleet.platform.set_faults(*faults),
        Action::PutSettings(path, text) => {
            let path = SettingsPath::parse(path).ok_or("no settings path")?;
            let text = text.replace("{NOW}", &SystemClock.now().to_string());
            fleet.platform.put(&path.to_platform(), &fleet.network.translate(&text), "operator");
        }
        Action::SlowTargets(names, factor) => {
            let listed =
                |_: &Fleet, target: &TargetName| names.iter().any(|n| n == target.as_str());
            change_targets(fleet, listed, |controls| controls.slowdown(*factor));
        }
        Action::StartEntry(vm) => {
            // Its address is free only once the old process has ended.
            fleet.finish_stop(*vm).await;
            fleet.start_entry_vm(*vm)?;
        }
        Action::StopEntry(vm) => fleet.stop_entry_vm(*vm).await?,
    }
    Ok(())
}

fn change_targets(
    fleet: &Fleet,
    pick: impl Fn(&Fleet, &TargetName) -> bool,
    change: impl Fn(crate::TargetControls) -> crate::TargetControls,
) {
    for (name, target) in &fleet.targets {
        if pick(fleet, name) {
            target.set_controls(change(target.controls()));
        }
    }
}

/// Shows a line that is written anew each second.
async fn show_progress(board: Arc<Board>, label: String, start: Instant) {
    let mut ticks = interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        let report = board.report();
        let [answered, refused, failed] =
            [Outcome::Answered, Outcome::Refused, Outcome::Failed].map(|o| report.count(o));
        drop(report);
        let seconds = start.elapsed().as_secs();
        let mut out = std::io::stdout();
        let end = if out.is_terminal() { "\r" } else { "\n" };
        // A closed terminal must not end the run.
        let _written = write!(
            out,
            "{label:<24} {seconds:>3} s  answered {answered:>7}  refused {refused:>6}  failed {failed:>5}{end}"
        )
        .and_then(|()| out.flush());
    }
}
