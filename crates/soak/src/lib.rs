//! Randomized soak test of entry VMs: runs them as processes and injects faults from outside.
//!
//! Main items:
//!
//! - [`Schedule`] generates the faults of a seed.
//! - [`SoakFleet`] runs the VM processes, the store and the targets.
//! - [`Proxy`] injects connection faults in front of the store and the targets.
//! - [`HistoryRecorder`] records what callers and targets observe.
//! - [`find_violations`] finds the broken promises in the record.
//!
//! ```
//! let schedule = soak::Schedule::draw(7, std::time::Duration::from_secs(30));
//! assert_eq!(schedule, soak::Schedule::draw(7, std::time::Duration::from_secs(30)));
//! ```

mod fault;
mod find_ignored_notices;
mod find_violations;
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
    history_recorder::{
        Arrival, CallOutcome, Completion, Disruption, HistoryRecorder, Kind, Notice, PlannedChange,
        Run, Subject,
    },
    proxy::Proxy,
    run::{SoakOptions, SoakReport, run_soak},
    schedule::{Schedule, Step},
    soak_fleet::{SoakFleet, TARGETS, VMS},
    stand_ins::{AnswerStyle, SoakTarget, run_caller, run_pipelining_caller},
    vm_process::{Exit, VmProcess},
};
