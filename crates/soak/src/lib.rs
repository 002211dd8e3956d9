//! Randomized soak test of entry VMs: runs them as processes and injects faults from outside.
//!
//! Main items:
//!
//! - [`Schedule`] generates the faults of a seed.
//! - [`SoakFleet`] of a [`FleetSize`] runs the VM processes, the store and the targets.
//! - [`Proxy`] injects connection faults in front of the store and the targets.
//! - [`HistoryRecorder`] records what callers and targets observe.
//! - [`find_violations`] finds the broken promises in the record.
//!
//! ```
//! use soak::{FleetSize, Schedule};
//! use std::time::Duration;
//! let draw = || Schedule::draw(7, Duration::from_secs(30), FleetSize::default());
//! assert_eq!(draw(), draw());
//! ```

mod fault;
mod find_ignored_notices;
mod find_passed_limits;
mod find_violations;
mod fleet_size;
mod history_recorder;
mod proxy;
mod run;
mod schedule;
mod soak_fleet;
mod stand_ins;
mod vm_process;

pub use self::{
    fault::{Fault, LinkFault},
    find_violations::{Violation, find_violations},
    fleet_size::FleetSize,
    history_recorder::{
        Arrival, CallOutcome, Completion, Disruption, HistoryRecorder, Kind, Notice, PlannedChange,
        Run, Subject,
    },
    proxy::Proxy,
    run::{SoakOptions, SoakReport, run_soak},
    schedule::{Schedule, Step},
    soak_fleet::SoakFleet,
    stand_ins::{AnswerStyle, NamedLimit, SoakTarget, run_caller, run_pipelining_caller},
    vm_process::{Exit, VmProcess},
};
