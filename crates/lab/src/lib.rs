//! Test fleets, stand-ins for outside systems and experiments, all on loopback; not part of a
//! release.
//!
//! ```
//! use lab::Deployment;
//! assert_eq!(Deployment::by_name("vitrine").unwrap().zones().len(), 6);
//! ```

mod arrivals;
mod bench;
mod callers;
mod checks;
mod demo;
mod deployment;
mod experiments;
mod fleet;
mod ideal;
mod linked_peers;
mod network;
mod run;
mod run_report;
mod samples;
mod scenario;
mod slopes;
mod stand_ins;
mod workload;

pub use self::{
    arrivals::{Arrival, make_arrivals},
    bench::run_bench,
    callers::{Callers, LookupCache, NaiveBalancer, RequestResult},
    checks::{Checks, max_in_window},
    demo::{DemoOptions, run_demo},
    deployment::Deployment,
    experiments::{
        Bound, EXPERIMENT_NAMES, ExperimentOptions, ExperimentResult, Measure, run_experiment,
    },
    fleet::Fleet,
    ideal::simulate_central_queue,
    linked_peers::wrap_peers,
    network::Network,
    run::{RunResult, run_scenario},
    run_report::{RequestOutcome, RunReport},
    samples::{Sample, Sampler, Samples},
    scenario::{Policy, Scenario, ScheduledAction},
    slopes::{LineFit, Slope, run_slopes},
    stand_ins::{
        LinkStandIn, ObjectStore, PlatformFaults, PlatformStandIn, RelaySwitch, RunRecord,
        StoreFault, TargetControls, TargetStandIn,
    },
    workload::{Workload, workloads},
};
