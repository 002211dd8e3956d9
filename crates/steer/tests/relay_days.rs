//! Draws days with two disturbances of the store each, and checks when each VM knows a new configuration.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod relay_world;
mod routers;

use quickcheck::{Arbitrary, Gen};
use relay_world::{Fleet, Refusal, World, change_targets, limits};
use routers::vm;
use std::{
    collections::BTreeSet,
    env,
    fmt::Write,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use steer::{RelayRole, VmRecord};
use tokio::{
    runtime::Builder,
    time::{Instant, sleep_until},
};

const REGIONS: [&str; 3] = ["lisboa", "porto", "faro"];
/// Sizes of the fleets, and the time in seconds within which they must know a change.
const FLEETS: [(u8, u64); 5] = [(6, 2), (11, 2), (16, 2), (17, 2), (40, 3)];
/// Days of each fleet in CI. `RELAY_DAYS` sets another number.
const DAYS: u64 = 12;
/// When the first disturbance may begin, in milliseconds.
const BEGIN: Range<u64> = 9_000..15_000;
/// When the configuration changes, after the first disturbance began.
const CHANGE: Range<u64> = 0..14_000;
/// How long a disturbance lasts.
const LENGTHS: Range<u64> = 500..9_000;
/// When the second disturbance begins, after the first one.
const GAP: Range<u64> = 0..7_000;
/// Time after the last event of a day until it ends.
const REST: Duration = Duration::from_secs(12);
const KIND_DELAY: Duration = Duration::from_millis(13);

/// The VMs for which the store fails.
#[derive(Clone, Copy, Debug)]
enum Whom {
    All,
    OneReader,
    Readers,
    Region,
    /// About a third, drawn by a number.
    Share(u8),
}

/// What happens to a VM that reads the store, at the begin of the first disturbance.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It is cut off from all others.
    Cut,
    /// Another VM starts.
    Join,
    Nothing,
    /// Its process ends.
    Stop,
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    at: Duration,
    length: Duration,
    refusal: Refusal,
    whom: Whom,
}

#[derive(Clone, Copy, Debug)]
struct Day {
    changed: Duration,
    disturbances: [Disturbance; 2],
    event: Event,
}

fn draw(g: &mut Gen, range: &Range<u64>) -> Duration {
    Duration::from_millis(range.start + u64::arbitrary(g) % (range.end - range.start))
}

impl Disturbance {
    fn draw(g: &mut Gen, at: Duration) -> Self {
        let refusals = [Refusal::Busy, Refusal::Late, Refusal::Reset, Refusal::Silent];
        let share = Whom::Share(u8::arbitrary(g));
        let whom = [Whom::All, Whom::OneReader, Whom::Readers, Whom::Region, share];
        Self {
            at,
            length: draw(g, &LENGTHS),
            refusal: *g.choose(&refusals).unwrap(),
            whom: *g.choose(&whom).unwrap(),
        }
    }

    fn end(&self) -> Duration {
        self.at + self.length
    }
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        let begin = draw(g, &BEGIN);
        let second = begin + draw(g, &GAP);
        let events = [Event::Cut, Event::Join, Event::Nothing, Event::Nothing, Event::Stop];
        Self {
            changed: begin + draw(g, &CHANGE),
            disturbances: [Disturbance::draw(g, begin), Disturbance::draw(g, second)],
            event: *g.choose(&events).unwrap(),
        }
    }
}

fn vm_record(number: u8) -> VmRecord {
    let region = REGIONS[usize::from(number) % REGIONS.len()];
    let zone = format!("{region}-{}", number / 3 % 2);
    VmRecord {
        capacity: if number < 12 { 500 } else { 100 },
        ..vm(&format!("entry-{number}"), number, &zone, region)
    }
}

/// Returns the VMs that read the store for others, or for themselves.
fn readers(world: &World) -> Vec<SocketAddr> {
    let vms = world.caches.lock().unwrap();
    let readers = vms.iter().filter(|(_, (_, router))| {
        matches!(router.fleet().role(), RelayRole::Reader | RelayRole::Standby)
    });
    readers.map(|(vm, _)| *vm).collect()
}

fn choose(world: &World, whom: Whom) -> BTreeSet<SocketAddr> {
    let all: Vec<SocketAddr> = world.caches.lock().unwrap().keys().copied().collect();
    match whom {
        Whom::All => all.into_iter().collect(),
        Whom::OneReader => readers(world).into_iter().take(1).collect(),
        Whom::Readers => readers(world).into_iter().collect(),
        Whom::Region => all.into_iter().step_by(REGIONS.len()).collect(),
        Whom::Share(seed) => {
            let is_drawn = |number: &usize| (number * 7 + usize::from(seed)) % 20 < 7;
            let drawn = all.into_iter().enumerate().filter(|(number, _)| is_drawn(number));
            drawn.map(|(_, vm)| vm).collect()
        }
    }
}

/// A disturbance of some VMs, which may be judged again from its end on.
type Affected = (BTreeSet<SocketAddr>, Duration);

async fn disturb(world: &World, start: Instant, disturbance: Disturbance) -> Affected {
    sleep_until(start + disturbance.at).await;
    let vms = choose(world, disturbance.whom);
    world.refused.send_modify(|refused| {
        refused.extend(vms.iter().map(|vm| (*vm, disturbance.refusal)));
    });
    sleep_until(start + disturbance.end()).await;
    world.refused.send_modify(|refused| refused.retain(|vm, _| !vms.contains(vm)));
    (vms, disturbance.end())
}

/// Lets the event happen, and returns the VMs that aren't judged any more.
fn run_event(fleet: &mut Fleet, event: Event, size: u8) -> BTreeSet<SocketAddr> {
    let reader = readers(&fleet.world).first().copied();
    match event {
        Event::Cut => drop(fleet.world.cut.send_replace(reader.into_iter().collect())),
        Event::Join => {
            let record = vm_record(size);
            let joined = record.peers;
            fleet.join(&record);
            return [joined].into();
        }
        Event::Nothing => return BTreeSet::new(),
        Event::Stop => {
            let stopped = reader.unwrap();
            fleet.world.cut.send_replace([stopped].into());
            fleet.stop(stopped);
        }
    }
    reader.into_iter().collect()
}

/// Plays a day. Returns the times by which VMs knew the change too late, and the number of calls to the
/// store.
async fn play(size: u8, apply: u64, day: Day) -> (Vec<Duration>, usize) {
    let limits = limits(apply);
    let world = World { kind_delay: KIND_DELAY, ..World::default() };
    let mut fleet = Fleet::start_in(world, limits, (0..size).map(vm_record));
    let (world, start) = (Arc::clone(&fleet.world), Instant::now());
    let [first, second] = day.disturbances;
    let last = first.end().max(second.end()).max(day.changed);
    let mut revision = 0;
    let events = async {
        sleep_until(start + day.disturbances[0].at).await;
        let excused = run_event(&mut fleet, day.event, size);
        sleep_until(start + last + REST).await;
        excused
    };
    let change = async {
        sleep_until(start + day.changed).await;
        world.store.send_modify(|state| state.configuration = state.revision() + 1);
        revision = world.store.borrow().configuration;
    };
    let disturbed = async {
        let (first, second) = (disturb(&world, start, first), disturb(&world, start, second));
        tokio::join!(events, first, second, change)
    };
    let (excused, first, second, ()) = tokio::select! {
        biased;
        done = disturbed => done,
        () = change_targets(&world) => unreachable!("targets change all the time"),
    };
    let mut late = Vec::new();
    for (vm, recorder) in fleet.recorders.iter().filter(|(vm, _)| !excused.contains(vm)) {
        let in_touch = [&first, &second].into_iter().filter(|(vms, _)| vms.contains(vm));
        let in_touch = in_touch.map(|(_, end)| *end + limits.stable);
        let due = in_touch.fold(day.changed + limits.apply, Duration::max);
        let known = recorder.known_since(revision).unwrap_or(start + last + REST);
        let delay = known.duration_since(start).saturating_sub(due);
        if !delay.is_zero() {
            late.push(delay);
        }
    }
    (late, world.calls.load(Ordering::Relaxed))
}

/// Runs a simulation in a runtime of its own, which ends all its tasks.
fn run<T>(simulation: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(simulation)
}

// Guards against stale configurations: VMs that reached the store took the loss that others reported for
// an outage, or slept while others relayed what they lacked.
#[test]
fn a_configuration_is_known_in_time_on_drawn_days() {
    let days = env::var("RELAY_DAYS").ok().and_then(|days| days.parse().ok()).unwrap_or(DAYS);
    let (mut table, mut failures) = (String::new(), String::new());
    for (size, apply) in FLEETS {
        let (mut calls, mut days_late) = (0, 0);
        for seed in 0..days {
            let day = Day::arbitrary(&mut Gen::from_size_and_seed(30, seed));
            let (late, count) = run(play(size, apply, day));
            calls += count;
            if let Some(longest) = late.iter().max() {
                days_late += 1;
                let (vms, ms) = (late.len(), longest.as_millis());
                writeln!(failures, "{size} VMs, seed {seed}: {vms} late, {ms} ms: {day:?}")
                    .unwrap();
            }
        }
        // The number of calls differs a little from run to run.
        println!("{size} VMs: {calls} calls");
        writeln!(table, "{size} VMs, {apply} s: late on {days_late} days").unwrap();
    }
    assert!(failures.is_empty(), "{failures}");
    insta::assert_snapshot!(table);
}
