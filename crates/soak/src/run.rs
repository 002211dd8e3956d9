//! Runs a soak: starts the fleet, injects the faults of a seed, and checks the promises.

use crate::{
    End, Ending, Exit, Fault, LinkFault, Plan, Schedule, Step, Subject, Violation, VmProcess,
    World, call_for_ever, judge, stand_ins::wait_ready, world::GRACE,
};
use futures_util::future::join_all;
use lab::StoreFault;
use std::{collections::BTreeMap, env, io, path::PathBuf, process, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Number of concurrent callers.
const CALLERS: u64 = 24;
/// Time at the end in which requests must be served again.
const SERVED_AGAIN: Duration = Duration::from_secs(4);
/// Time for which a draining target still serves.
const LEAVE: Duration = Duration::from_secs(5);
/// Time between the removal of a target and its return.
const BACK: Duration = Duration::from_secs(1);
/// Maximum time to wait for requests in flight at the end.
const LAST: Duration = Duration::from_secs(5);

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Time for which callers send requests.
    pub length: Duration,
    /// Executable that runs the VMs.
    pub program: PathBuf,
    /// Seed of the fault schedule.
    pub seed: u64,
}

impl SoakOptions {
    /// Creates options for a soak of 30 seconds.
    pub fn new(program: PathBuf, seed: u64) -> Self {
        Self { length: Duration::from_secs(30), program, seed }
    }

    /// Sets the time for which callers send requests.
    pub fn length(mut self, length: Duration) -> Self {
        self.length = length;
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
    let world = Arc::new(World::start(&options.program, &folder).await?);
    wait_ready(&world).await?;
    let schedule = Schedule::draw(options.seed, options.length);
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(call_for_ever(Arc::clone(&world), number, options.seed));
    }
    let mut faults = JoinSet::new();
    for step in schedule.steps.clone() {
        let world = Arc::clone(&world);
        faults.spawn(async move {
            sleep_until(start + step.at).await;
            play(&world, step.fault).await;
        });
    }
    sleep_until(start + schedule.length).await;
    callers.shutdown().await;
    faults.shutdown().await;
    // Targets may still begin to execute requests whose callers have gone.
    sleep(LAST.min(LEAVE)).await;
    let ends = world.ledger.ends();
    let answered = |end: &&End| matches!(end.ending, Ending::Answer(_));
    let mut violations: BTreeMap<&'static str, Vec<Violation>> = BTreeMap::new();
    for violation in judge(&world.ledger, start + schedule.length - SERVED_AGAIN) {
        violations.entry(violation.promise).or_default().push(violation);
    }
    Ok(SoakReport {
        folder,
        served: ends.values().filter(answered).count(),
        steps: schedule.steps,
        total: ends.len(),
        violations,
    })
}

async fn play(world: &World, fault: Fault) {
    let ledger = &world.ledger;
    match fault {
        Fault::Compact => world.compact(),
        Fault::Configure(count) => {
            for _ in 0..count {
                world.configure();
                sleep(Duration::from_millis(150)).await;
            }
        }
        Fault::Drain(target) => drain(world, target).await,
        Fault::Evacuate(zone, time) => {
            world.evacuate(zone, true);
            sleep(time).await;
            world.evacuate(zone, false);
        }
        Fault::HangUp(vm) => hang_up(world, vm).await,
        Fault::Kill(vm, time) => kill(world, vm, time).await,
        Fault::KillAll(time) => {
            join_all((0..world.processes.len()).map(|vm| kill(world, vm, time))).await;
        }
        Fault::Pause(vm, time) => {
            let process = world.processes[vm].lock().await;
            let trouble = ledger.begin(Subject::Vm(vm));
            process.signal("STOP");
            sleep(time).await;
            process.signal("CONT");
            ledger.end(trouble);
        }
        Fault::Store(fault, time) => {
            let trouble = ledger.begin(Subject::Store);
            world.spoil_store(fault);
            sleep(time).await;
            world.spoil_store(StoreFault::None);
            ledger.end(trouble);
        }
        Fault::StoreLink(vm, link, time) => {
            let trouble = ledger.begin(Subject::Vm(vm));
            world.spoil_store_link(vm, link);
            sleep(time).await;
            world.spoil_store_link(vm, LinkFault::None);
            ledger.end(trouble);
        }
        Fault::TargetLink(target, link, time) => {
            let trouble = ledger.begin(Subject::Target(target));
            world.targets[target].spoil(link);
            sleep(time).await;
            world.targets[target].spoil(LinkFault::None);
            ledger.end(trouble);
        }
        Fault::Terminate(vm) => terminate(world, vm).await,
    }
}

/// Sends SIGHUP. It may end a process that has not installed its signal handlers yet; such a
/// process is restarted, as the platform would do.
async fn hang_up(world: &World, vm: usize) {
    let mut process = world.processes[vm].lock().await;
    let new = process.is_new();
    process.signal("HUP");
    if new && process.wait(VmProcess::START).await == Exit::Signal {
        restart(world, vm, &mut process);
    }
}

/// Restarts a VM that has exited.
fn restart(world: &World, vm: usize, process: &mut VmProcess) {
    let trouble = world.ledger.begin(Subject::Vm(vm));
    if let Err(error) = process.restart() {
        world.ledger.note_bad_stop(format!("VM {vm} failed to restart: {error}"));
    }
    world.ledger.end(trouble);
}

async fn kill(world: &World, vm: usize, time: Duration) {
    let mut process = world.processes[vm].lock().await;
    let trouble = world.ledger.begin(Subject::Vm(vm));
    process.kill();
    sleep(time).await;
    if let Err(error) = process.restart() {
        world.ledger.note_bad_stop(format!("VM {vm} failed to restart: {error}"));
    }
    world.ledger.end(trouble);
}

/// Stops a VM with SIGTERM, and restarts it.
async fn terminate(world: &World, vm: usize) {
    let mut process = world.processes[vm].lock().await;
    let new = process.is_new();
    process.signal("TERM");
    let exit = process.wait(GRACE).await;
    if exit != Exit::Code(0) && !(new && exit == Exit::Signal) {
        world.ledger.note_bad_stop(format!("VM {vm} after SIGTERM: {exit}"));
        process.kill();
    }
    restart(world, vm, &mut process);
}

/// Drains a target, removes it, and returns it as a new incarnation.
async fn drain(world: &World, target: usize) {
    world.register(target, "draining");
    world.ledger.note_plan(Plan::Drained(target));
    sleep(LEAVE).await;
    world.deregister(target);
    let trouble = world.ledger.begin(Subject::Target(target));
    world.targets[target].spoil(LinkFault::Reset);
    sleep(BACK).await;
    world.targets[target].restart();
    world.targets[target].spoil(LinkFault::None);
    world.ledger.end(trouble);
    world.register(target, "ready");
    world.ledger.note_plan(Plan::Undrained(target));
}
