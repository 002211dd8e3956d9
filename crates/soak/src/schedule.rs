//! Random fault schedules.

use crate::{Fault, LinkFault, TARGETS, VMS, soak_fleet::ZONES};
use lab::StoreFault;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Time without faults at the start.
pub(crate) const FAULT_FREE_START: Duration = Duration::from_secs(4);
/// Time without faults at the end, in which requests must be served again. Late restarts, store
/// faults and drains end within it.
pub(crate) const FAULT_FREE_END: Duration = Duration::from_secs(12);
/// Mean time between two faults or bursts.
const MEAN_GAP: Duration = Duration::from_millis(900);

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Time since the callers started.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Faults generated from a seed, in order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Time for which callers send requests.
    pub length: Duration,
    /// Scheduled faults.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Generates the faults of a seed. They may overlap, and some come in bursts of two or three.
    pub fn draw(seed: u64, length: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = FAULT_FREE_START;
        while at + FAULT_FREE_END < length {
            let fault = draw_fault(&mut rng);
            let burst = if rng.random_bool(0.2) { rng.random_range(2..4) } else { 1 };
            for i in 0..burst {
                let later = Duration::from_millis(300) * i;
                steps.push(Step { at: at + later, fault: apply_to_next(fault, i as usize) });
            }
            at += MEAN_GAP.mul_f64(rng.random_range(0.2..1.8));
        }
        steps.extend(draw_notices_and_stops(seed, length));
        steps.sort_by_key(|step| step.at);
        Self { length, steps }
    }
}

/// Draws notices of targets, and stops of VMs amid changes. They have a generator of their own, so
/// that the other faults of a seed stay the same.
fn draw_notices_and_stops(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let (mut at, mut steps) = (FAULT_FREE_START, Vec::new());
    while at + FAULT_FREE_END < length {
        let (vm, target) = (rng.random_range(0..VMS), rng.random_range(0..TARGETS));
        let fault = match rng.random_range(0..6) {
            0 => Fault::Leave(target, seconds(&mut rng, 0.0, 2.0)),
            1 => Fault::LeaveFalsely(target, seconds(&mut rng, 0.2, 1.0)),
            2 => Fault::StopAmidChanges(vm, seconds(&mut rng, 0.1, 0.8)),
            _ => {
                let time = seconds(&mut rng, 0.2, 2.0);
                Fault::Refuse(target, time, seconds(&mut rng, 1.0, 4.0))
            }
        };
        for i in 0..rng.random_range(1..3_u8) {
            let later = Duration::from_millis(200) * u32::from(i);
            steps.push(Step { at: at + later, fault: apply_to_next(fault, i.into()) });
        }
        at += MEAN_GAP.mul_f64(rng.random_range(0.2..1.8));
    }
    steps
}

fn seconds(rng: &mut SmallRng, from: f64, to: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(from..to))
}

fn draw_fault(rng: &mut SmallRng) -> Fault {
    let (vm, target) = (rng.random_range(0..VMS), rng.random_range(0..TARGETS));
    let store =
        [StoreFault::Busy, StoreFault::LosesAnswers, StoreFault::Silent, StoreFault::TooMany]
            [rng.random_range(0..4)];
    let link = [
        LinkFault::Delay(Duration::from_millis(150)),
        LinkFault::Mute,
        LinkFault::Reset,
        LinkFault::Silent,
    ][rng.random_range(0..4)];
    match rng.random_range(0..16) {
        0 => Fault::Configure(1),
        1 => Fault::Configure(4),
        2 => Fault::Evacuate(rng.random_range(0..ZONES.len()), seconds(rng, 5.0, 8.0)),
        3 => Fault::HangUp(vm),
        4 => Fault::Kill(vm, seconds(rng, 0.2, 2.0)),
        5 if rng.random_bool(0.3) => Fault::KillAll(seconds(rng, 0.2, 1.0)),
        5 | 6 => Fault::Pause(vm, seconds(rng, 0.3, 4.0)),
        7 => Fault::Compact,
        8 | 9 => Fault::Store(store, seconds(rng, 0.5, 5.0)),
        10 | 11 => Fault::StoreLink(vm, link, seconds(rng, 0.5, 5.0)),
        12 => Fault::Drain(target),
        13 => Fault::TargetLink(target, link, seconds(rng, 0.3, 3.0)),
        _ => Fault::Terminate(vm),
    }
}

/// Returns the same fault for the `i`-th next VM or target; other faults are unchanged.
fn apply_to_next(fault: Fault, i: usize) -> Fault {
    let vm = |vm: usize| (vm + i) % VMS;
    let target = |target: usize| (target + i) % TARGETS;
    match fault {
        Fault::Drain(t) => Fault::Drain(target(t)),
        Fault::HangUp(v) => Fault::HangUp(vm(v)),
        Fault::Kill(v, time) => Fault::Kill(vm(v), time),
        Fault::Leave(t, time) => Fault::Leave(target(t), time),
        Fault::LeaveFalsely(t, time) => Fault::LeaveFalsely(target(t), time),
        Fault::Pause(v, time) => Fault::Pause(vm(v), time),
        Fault::Refuse(t, time, pause) => Fault::Refuse(target(t), time, pause),
        Fault::StopAmidChanges(v, time) => Fault::StopAmidChanges(vm(v), time),
        Fault::StoreLink(v, link, time) => Fault::StoreLink(vm(v), link, time),
        Fault::TargetLink(t, link, time) => Fault::TargetLink(target(t), link, time),
        Fault::Terminate(v) => Fault::Terminate(vm(v)),
        other => other,
    }
}
