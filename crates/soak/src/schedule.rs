//! Random fault schedules.

use crate::{Fault, FleetSize, LinkFault, soak_fleet::ZONES};
use lab::StoreFault;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Time without faults at the start.
pub(crate) const FAULT_FREE_START: Duration = Duration::from_secs(4);
/// Time without faults at the end, in which requests must be served again. Late restarts, store
/// faults and drains end within it.
pub(crate) const FAULT_FREE_END: Duration = Duration::from_secs(12);
/// Mean time between two faults or bursts in a fleet of the usual size.
const MEAN_GAP: Duration = Duration::from_millis(900);
/// Mean time between two series in a fleet of the usual size.
const SERIES_GAP: Duration = Duration::from_millis(2_500);

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
    /// Generates the faults of a seed for a fleet. They may overlap, and some come in bursts of two
    /// or three.
    pub fn draw(seed: u64, length: Duration, size: FleetSize) -> Self {
        // Each generator is independent, so that a new kind of fault leaves those of a seed as they
        // were.
        let mut steps = Vec::new();
        let generators = [
            (seed, StepKind::Single),
            (!seed, StepKind::Notice),
            (seed.rotate_left(32), StepKind::Series),
            (seed.rotate_left(16), StepKind::Need),
        ];
        for (seed, kind) in generators {
            let mut generator = Generator { rng: SmallRng::seed_from_u64(seed), size };
            steps.extend(generator.draw_steps(kind, length));
        }
        steps.sort_by_key(|step| step.at);
        Self { length, steps }
    }
}

/// Kind of faults that a generator draws.
#[derive(Clone, Copy)]
enum StepKind {
    /// Limits that targets ask for, and configurations that grow.
    Need,
    /// Notices of targets, and stops of VMs amid changes.
    Notice,
    /// Series of signals, restarts and changes, and connections that lose requests.
    Series,
    /// Faults and changes of one part of the system.
    Single,
}

/// Draws the faults of one kind.
struct Generator {
    rng: SmallRng,
    size: FleetSize,
}

impl Generator {
    fn draw_steps(&mut self, kind: StepKind, length: Duration) -> Vec<Step> {
        let (mut at, mut steps) = (FAULT_FREE_START, Vec::new());
        let mean_gap = match kind {
            StepKind::Notice | StepKind::Single => MEAN_GAP,
            StepKind::Need | StepKind::Series => SERIES_GAP,
        } / self.size.factor() as u32;
        while at + FAULT_FREE_END < length {
            let (fault, count, gap_ms) = match kind {
                StepKind::Need => (self.draw_need(), 1, 0),
                StepKind::Notice => (self.draw_notice(), self.rng.random_range(1..3), 200),
                StepKind::Series => (self.draw_series(), 1, 0),
                StepKind::Single => {
                    let fault = self.draw_fault();
                    let is_burst = self.rng.random_bool(0.2);
                    (fault, if is_burst { self.rng.random_range(2..4) } else { 1 }, 300)
                }
            };
            let count = if self.is_drawn_too_often(fault) { 0 } else { count };
            for i in 0..count {
                let later = Duration::from_millis(gap_ms) * i;
                let fault = self.apply_to_next(fault, i as usize);
                steps.push(Step { at: at + later, fault });
            }
            at += mean_gap.mul_f64(self.rng.random_range(0.2..1.8));
        }
        steps
    }

    /// Drops most faults of the whole fleet if it is large, so that they stay as rare as in the usual
    /// one; others grow with the number of VMs and targets.
    fn is_drawn_too_often(&mut self, fault: Fault) -> bool {
        let factor = self.size.factor();
        factor > 1 && fault.is_global() && !self.rng.random_bool(1.0 / factor as f64)
    }

    fn draw_notice(&mut self) -> Fault {
        let (vm, target) = self.draw_pair();
        match self.rng.random_range(0..6) {
            0 => Fault::Leave(target, self.seconds(0.0, 2.0)),
            1 => Fault::LeaveFalsely(target, self.seconds(0.2, 1.0)),
            2 => Fault::StopAmidChanges(vm, self.seconds(0.1, 0.8)),
            _ => {
                let time = self.seconds(0.2, 2.0);
                Fault::Refuse(target, time, self.seconds(1.0, 4.0))
            }
        }
    }

    fn draw_need(&mut self) -> Fault {
        let (_, target) = self.draw_pair();
        let time = self.seconds(6.0, 14.0);
        match self.rng.random_range(0..6) {
            0 => Fault::Grow(self.rng.random_range(200..600)),
            1 => Fault::LimitFalsely(target, time),
            2 => Fault::Limit(target, 0, time),
            _ => Fault::Limit(target, self.rng.random_range(200..4_000), time),
        }
    }

    fn draw_series(&mut self) -> Fault {
        let (vm, target) = self.draw_pair();
        match self.rng.random_range(0..6) {
            0 => Fault::StoreLink(vm, LinkFault::Deaf, self.seconds(0.5, 5.0)),
            1 => Fault::TargetLink(target, LinkFault::Deaf, self.seconds(0.3, 3.0)),
            2 | 3 => Fault::LeaveAmidSignals(target, vm),
            _ => Fault::RestartSeries(vm, self.rng.random_range(2..4)),
        }
    }

    fn draw_fault(&mut self) -> Fault {
        let (vm, target) = self.draw_pair();
        let store =
            [StoreFault::Busy, StoreFault::LosesAnswers, StoreFault::Silent, StoreFault::TooMany]
                [self.rng.random_range(0..4)];
        let link = [
            LinkFault::Delay(Duration::from_millis(150)),
            LinkFault::Mute,
            LinkFault::Reset,
            LinkFault::Silent,
        ][self.rng.random_range(0..4)];
        match self.rng.random_range(0..16) {
            0 => Fault::Configure(1),
            1 => Fault::Configure(4),
            2 => Fault::Evacuate(self.rng.random_range(0..ZONES.len()), self.seconds(5.0, 8.0)),
            3 => Fault::HangUp(vm),
            4 => Fault::Kill(vm, self.seconds(0.2, 2.0)),
            5 if self.rng.random_bool(0.3) => Fault::KillAll(self.seconds(0.2, 1.0)),
            5 | 6 => Fault::Pause(vm, self.seconds(0.3, 4.0)),
            7 => Fault::Compact,
            8 | 9 => Fault::Store(store, self.seconds(0.5, 5.0)),
            10 | 11 => Fault::StoreLink(vm, link, self.seconds(0.5, 5.0)),
            12 => Fault::Drain(target),
            13 => Fault::TargetLink(target, link, self.seconds(0.3, 3.0)),
            _ => Fault::Terminate(vm),
        }
    }

    /// Draws a VM and a target.
    fn draw_pair(&mut self) -> (usize, usize) {
        let vm = self.rng.random_range(0..self.size.vms());
        (vm, self.rng.random_range(0..self.size.targets()))
    }

    fn seconds(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(from..to))
    }

    /// Returns the same fault for the `i`-th next VM or target; other faults are unchanged.
    fn apply_to_next(&self, fault: Fault, i: usize) -> Fault {
        let vm = |vm: usize| (vm + i) % self.size.vms();
        let target = |target: usize| (target + i) % self.size.targets();
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
}
