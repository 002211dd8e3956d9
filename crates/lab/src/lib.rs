//! Stand-ins and experiments on loopback; not shipped.
//!
//! ```
//! use lab::Deployment;
//! assert_eq!(Deployment::by_name("vitrine").unwrap().zones().len(), 6);
//! ```

mod arrivals;
mod demo;
mod deployment;
mod fleet;
mod linked_peers;
mod network;
mod report;
mod stand_ins;

pub use self::{
    arrivals::{Arrival, Arrivals, Workload, workloads},
    demo::{DemoOptions, run_demo},
    deployment::Deployment,
    fleet::Fleet,
    linked_peers::wrap_peers,
    network::Network,
    report::{Outcome, Report},
    stand_ins::{LinkStandIn, PlatformStandIn, TargetControls, TargetStandIn},
};
