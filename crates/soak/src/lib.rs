//! Randomized soak test of entry VMs: runs them as processes and injects faults from outside.
//!
//! Main items:
//!
//! - [`Schedule`] draws the faults of a seed.
//! - [`World`] runs the VM processes, the store and the targets.
//! - [`Proxy`] injects connection faults in front of the store and the targets.
//! - [`Ledger`] records what callers and targets observe.
//! - [`judge`] finds the broken promises in the record.
//!
//! ```
//! let schedule = soak::Schedule::draw(7, std::time::Duration::from_secs(30));
//! assert_eq!(schedule, soak::Schedule::draw(7, std::time::Duration::from_secs(30)));
//! ```

mod fault;
mod judge;
mod ledger;
mod proxy;
mod run;
mod schedule;
mod stand_ins;
mod vm_process;
mod world;

pub use self::{
    fault::{Fault, LinkFault},
    judge::{Violation, judge},
    ledger::{End, Ending, Kind, Ledger, Plan, Run, Subject, Trouble},
    proxy::Proxy,
    run::{SoakOptions, SoakReport, run_soak},
    schedule::{Schedule, Step},
    stand_ins::{SoakTarget, call_for_ever},
    vm_process::{Exit, VmProcess},
    world::{TARGETS, VMS, World},
};
