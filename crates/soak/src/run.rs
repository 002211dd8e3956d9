//! Runs a soak: starts the fleet, injects the faults of a seed, and checks the promises.

use crate::{
    CallOutcome, Completion, Exit, Fault, FleetSize, LinkFault, NamedLimit, PlannedChange,
    Schedule, SoakFleet, SoakTarget, Step, Subject, Violation, VmProcess, find_violations,
    run_caller, run_pipelining_caller, schedule::FAULT_FREE_END, soak_fleet::SHUTDOWN_GRACE,
    stand_ins::wait_ready,
};
use futures_util::future::join_all;
use lab::StoreFault;
use std::{collections::BTreeMap, env, io, path::PathBuf, process, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time between a target's false announcement and its restart; longer than the time for which it may
/// get requests sent before the announcement.
const FALSE_LEAVE_TIME: Duration = Duration::from_secs(5);
/// Time at the end of the soak in which requests must be served again.
const RECOVERY_WINDOW: Duration = Duration::from_secs(4);
/// Time for which a draining target still serves requests.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Time between the removal of a target and its return.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time between two changes of a series.
const CHANGE_GAP: Duration = Duration::from_millis(150);
/// Time between two signals of a series.
const SIGNAL_GAP: Duration = Duration::from_millis(700);
/// Maximum time to wait for requests in flight at the end.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Time for which callers send requests.
    pub length: Duration,
    /// Executable that runs the VMs.
    pub program: PathBuf,
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Size of the fleet.
    pub size: FleetSize,
}

impl SoakOptions {
    /// Creates options for a soak of 30 seconds in a fleet of the usual size.
    pub fn new(program: PathBuf, seed: u64) -> Self {
        Self { length: Duration::from_secs(30), program, seed, size: FleetSize::default() }
    }

    /// Sets the time for which callers send requests.
    pub fn length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Sets the size of the fleet.
    pub fn size(mut self, size: FleetSize) -> Self {
        self.size = size;
        self
    }
}

/// Results of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Folder of the settings and logs.
    pub folder: PathBuf,
    /// Number of requests that a target answered.
    pub served: usize,
    /// Scheduled faults.
    pub steps: Vec<Step>,
    /// Number of completed requests.
    pub total: usize,
    /// Broken promises, by promise.
    pub violations: BTreeMap<&'static str, Vec<Violation>>,
}

/// Runs a soak and checks the promises.
///
/// # Errors
///
/// Fails if the fleet can't be started.
pub async fn run_soak(options: &SoakOptions) -> io::Result<SoakReport> {
    let name = format!("soak-{}-{}", options.seed, process::id());
    let folder = env::temp_dir().join(name);
    let size = options.size;
    let fleet = Arc::new(SoakFleet::start(&options.program, &folder, size).await?);
    wait_ready(&fleet).await?;
    let schedule = Schedule::draw(options.seed, options.length, size);
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..size.callers() {
        callers.spawn(run_caller(Arc::clone(&fleet), number as u64, options.seed));
    }
    for number in size.callers()..size.callers() + size.pipelining_callers() {
        callers.spawn(run_pipelining_caller(Arc::clone(&fleet), number as u64, options.seed));
    }
    let mut faults = JoinSet::new();
    for step in schedule.steps.clone() {
        let fleet = Arc::clone(&fleet);
        faults.spawn(async move {
            sleep_until(start + step.at).await;
            inject(&fleet, step.fault).await;
        });
    }
    sleep_until(start + schedule.length.saturating_sub(FAULT_FREE_END)).await;
    fleet.targets.iter().for_each(SoakTarget::calm_down);
    sleep_until(start + schedule.length).await;
    callers.shutdown().await;
    faults.shutdown().await;
    // Targets may still begin to execute requests whose callers have disconnected.
    sleep(SETTLE_TIME.min(DRAIN_TIME)).await;
    let completions = fleet.recorder.completions();
    let answered = |completion: &&Completion| matches!(completion.outcome, CallOutcome::Answer(_));
    let mut violations: BTreeMap<&'static str, Vec<Violation>> = BTreeMap::new();
    for violation in find_violations(&fleet.recorder, start + schedule.length - RECOVERY_WINDOW) {
        violations.entry(violation.promise).or_default().push(violation);
    }
    Ok(SoakReport {
        folder,
        served: completions.values().filter(answered).count(),
        steps: schedule.steps,
        total: completions.len(),
        violations,
    })
}

async fn inject(fleet: &SoakFleet, fault: Fault) {
    let recorder = &fleet.recorder;
    match fault {
        Fault::Compact => fleet.compact(),
        Fault::Configure(count) => configure(fleet, count).await,
        Fault::Drain(target) => drain(fleet, target).await,
        Fault::Evacuate(zone, time) => {
            fleet.set_evacuated(zone, true);
            sleep(time).await;
            fleet.set_evacuated(zone, false);
        }
        Fault::Grow(routes) => {
            fleet.add_routes(routes);
            fleet.write_configuration();
        }
        Fault::HangUp(vm) => hang_up(fleet, vm).await,
        Fault::Kill(vm, time) => kill(fleet, vm, time).await,
        Fault::KillAll(time) => {
            join_all((0..fleet.processes.len()).map(|vm| kill(fleet, vm, time))).await;
        }
        Fault::Leave(target, time) => {
            fleet.targets[target].set_leaving(true);
            sleep(time).await;
            drain(fleet, target).await;
        }
        Fault::LeaveAmidSignals(target, vm) => leave_amid_signals(fleet, target, vm).await,
        Fault::LeaveFalsely(target, time) => {
            fleet.targets[target].set_leaving(true);
            sleep(time).await;
            fleet.targets[target].set_leaving(false);
            sleep(FALSE_LEAVE_TIME).await;
            replace(fleet, target).await;
        }
        Fault::Limit(target, rate, time) => {
            limit(fleet, target, NamedLimit::PerSecond(f64::from(rate) / 1000.0), time).await;
        }
        Fault::LimitFalsely(target, time) => limit(fleet, target, NamedLimit::Unusable, time).await,
        Fault::Pause(vm, time) => {
            let mut process = fleet.processes[vm].lock().await;
            pause(fleet, vm, &mut process, time).await;
        }
        Fault::Refuse(target, time, pause) => fleet.targets[target].refuse_for(time, pause),
        Fault::RestartSeries(vm, count) => restart_in_series(fleet, vm, count).await,
        Fault::StopAmidChanges(vm, time) => stop_amid_changes(fleet, vm, time).await,
        Fault::Store(fault, time) => {
            let disruption = recorder.begin_disruption(Subject::Store);
            fleet.set_store_fault(fault);
            sleep(time).await;
            fleet.set_store_fault(StoreFault::None);
            recorder.end_disruption(disruption);
        }
        Fault::StoreLink(vm, link, time) => {
            let disruption = recorder.begin_disruption(Subject::Link(vm));
            fleet.set_store_link_fault(vm, link);
            sleep(time).await;
            fleet.set_store_link_fault(vm, LinkFault::None);
            recorder.end_disruption(disruption);
        }
        Fault::TargetLink(target, link, time) => {
            let disruption = recorder.begin_disruption(Subject::Target(target));
            fleet.targets[target].set_fault(link);
            sleep(time).await;
            fleet.targets[target].set_fault(LinkFault::None);
            recorder.end_disruption(disruption);
        }
        Fault::Terminate(vm) => terminate(fleet, vm).await,
    }
}

/// Lets a target name a limit for some time.
async fn limit(fleet: &SoakFleet, target: usize, limit: NamedLimit, time: Duration) {
    fleet.targets[target].set_limit(limit);
    sleep(time).await;
    fleet.targets[target].set_limit(NamedLimit::None);
}

async fn configure(fleet: &SoakFleet, count: u32) {
    for _ in 0..count {
        fleet.write_configuration();
        sleep(CHANGE_GAP).await;
    }
}

/// Suspends a process.
async fn pause(fleet: &SoakFleet, vm: usize, process: &mut VmProcess, time: Duration) {
    let disruption = fleet.recorder.begin_disruption(Subject::Vm(vm));
    process.signal("STOP");
    sleep(time).await;
    process.signal("CONT");
    fleet.recorder.end_disruption(disruption);
}

/// Sends SIGHUP. It may end a process that has not installed its signal handlers yet; such a
/// process is restarted, as the platform would do.
async fn hang_up(fleet: &SoakFleet, vm: usize) {
    let mut process = fleet.processes[vm].lock().await;
    restart_after_early_signal(fleet, vm, &mut process);
    let new = process.is_new();
    process.signal("HUP");
    if new && process.wait(VmProcess::STARTUP_TIME).await == Exit::Signal {
        restart(fleet, vm, &mut process);
    }
}

/// Restarts a VM that an earlier signal ended before it had installed its handlers, but only after
/// the wait that followed the signal, as happens on a busy machine.
fn restart_after_early_signal(fleet: &SoakFleet, vm: usize, process: &mut VmProcess) {
    if process.was_signalled_early() && process.has_ended() {
        restart(fleet, vm, process);
    }
}

/// Restarts a VM that has exited.
fn restart(fleet: &SoakFleet, vm: usize, process: &mut VmProcess) {
    let disruption = fleet.recorder.begin_disruption(Subject::Vm(vm));
    if let Err(error) = process.restart() {
        fleet.recorder.record_process_failure(format!("VM {vm} failed to restart: {error}"));
    }
    fleet.recorder.end_disruption(disruption);
}

async fn kill(fleet: &SoakFleet, vm: usize, time: Duration) {
    let mut process = fleet.processes[vm].lock().await;
    let disruption = fleet.recorder.begin_disruption(Subject::Vm(vm));
    process.kill();
    sleep(time).await;
    if let Err(error) = process.restart() {
        fleet.recorder.record_process_failure(format!("VM {vm} failed to restart: {error}"));
    }
    fleet.recorder.end_disruption(disruption);
}

/// Stops a VM with SIGTERM, and restarts it.
async fn terminate(fleet: &SoakFleet, vm: usize) {
    let mut process = fleet.processes[vm].lock().await;
    stop(fleet, vm, &mut process, async |process| process.signal("TERM")).await;
}

/// Stops a VM with SIGTERM, amid SIGHUPs, configurations and a suspension.
async fn stop_amid_changes(fleet: &SoakFleet, vm: usize, time: Duration) {
    let mut process = fleet.processes[vm].lock().await;
    if process.is_new() {
        sleep(VmProcess::STARTUP_TIME).await;
    }
    stop(fleet, vm, &mut process, async |process| {
        process.signal("HUP");
        configure(fleet, 2).await;
        process.signal("TERM");
        configure(fleet, 2).await;
        process.signal("HUP");
        pause(fleet, vm, process, time).await;
    })
    .await;
}

/// Stops and restarts a VM several times in a row, amid configurations. All but the last time, it is
/// killed in the middle of its shutdown.
async fn restart_in_series(fleet: &SoakFleet, vm: usize, count: u32) {
    let mut process = fleet.processes[vm].lock().await;
    for _ in 1..count {
        process.signal("TERM");
        configure(fleet, 2).await;
        let disruption = fleet.recorder.begin_disruption(Subject::Vm(vm));
        process.kill();
        fleet.recorder.end_disruption(disruption);
        restart(fleet, vm, &mut process);
        sleep(SIGNAL_GAP).await;
    }
    stop(fleet, vm, &mut process, async |process| process.signal("TERM")).await;
}

/// Lets a target say falsely that it leaves while a VM receives SIGHUPs and configurations, and then
/// SIGTERM. The VM must not believe the target again at any of them.
async fn leave_amid_signals(fleet: &SoakFleet, target: usize, vm: usize) {
    fleet.targets[target].set_leaving(true);
    hang_up(fleet, vm).await;
    sleep(SIGNAL_GAP).await;
    fleet.targets[target].set_leaving(false);
    for _ in 0..4 {
        hang_up(fleet, vm).await;
        configure(fleet, 2).await;
        sleep(SIGNAL_GAP).await;
    }
    terminate(fleet, vm).await;
    replace(fleet, target).await;
}

/// Sends signals that end a process, and restarts it.
async fn stop(
    fleet: &SoakFleet,
    vm: usize,
    process: &mut VmProcess,
    signals: impl AsyncFnOnce(&mut VmProcess),
) {
    restart_after_early_signal(fleet, vm, process);
    let new = process.is_new();
    signals(process).await;
    let exit = process.wait(SHUTDOWN_GRACE).await;
    if exit != Exit::Code(0) && !(new && exit == Exit::Signal) {
        fleet.recorder.record_process_failure(format!("VM {vm} after SIGTERM: {exit}"));
        process.kill();
    }
    restart(fleet, vm, process);
}

/// Drains a target, removes it, and returns it as a new incarnation.
async fn drain(fleet: &SoakFleet, target: usize) {
    fleet.targets[target].set_leaving(true);
    fleet.register(target, "draining");
    fleet.recorder.record_change(PlannedChange::Drained(target));
    sleep(DRAIN_TIME).await;
    replace(fleet, target).await;
}

/// Removes a target, and returns it as a new incarnation.
async fn replace(fleet: &SoakFleet, target: usize) {
    fleet.deregister(target);
    let disruption = fleet.recorder.begin_disruption(Subject::Target(target));
    fleet.targets[target].set_fault(LinkFault::Reset);
    sleep(RESTART_DELAY).await;
    fleet.targets[target].restart();
    fleet.targets[target].set_fault(LinkFault::None);
    fleet.recorder.end_disruption(disruption);
    fleet.register(target, "ready");
    fleet.recorder.record_change(PlannedChange::Undrained(target));
}
