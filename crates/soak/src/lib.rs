//! A randomized soak of entry VMs as processes, with faults from outside.
//!
//! Five types to know:
//!
//! - [`Schedule`] draws the faults of a seed.
//! - [`World`] runs the processes, their store and their targets.
//! - [`Proxy`] stands before the store and the targets and spoils connections.
//! - [`Ledger`] keeps what callers and targets saw.
//! - [`judge`] finds the broken promises in a ledger.
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
